#ifndef RADISHROAD_TESTS_SUPPORT_TEMP_FOLDER_H
#define RADISHROAD_TESTS_SUPPORT_TEMP_FOLDER_H

#include "radishroad/base/random_id.h"

#include <filesystem>
#include <fstream>
#include <string_view>

namespace radishroad::test {

/// A temporary folder for one test, removed by the destructor.
class TempFolder
{
public:
  TempFolder()
    : mPath(std::filesystem::temp_directory_path() /
            ("radishroad-" + makeRandomId().toString()))
  {
    std::filesystem::create_directory(mPath);
  }
  ~TempFolder() { std::filesystem::remove_all(mPath); }
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;

  const std::filesystem::path& path() const { return mPath; }

  void write(std::string_view aName, std::string_view aText) const
  {
    std::ofstream out(mPath / aName, std::ios::binary);
    out << aText;
  }

  void makeSubfolder(std::string_view aName) const
  {
    std::filesystem::create_directory(mPath / aName);
  }

private:
  std::filesystem::path mPath;
};

}

#endif
