#include "radishroad/config/folder.h"

#include "radishroad/config/model_builder.h"
#include "radishroad/config/text_check.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <system_error>

namespace radishroad::config {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view kFileExtension = ".yaml";

/// Paths of the folder's *.yaml files, sorted by name.
std::vector<fs::path>
listFolder(const fs::path& aFolder, Findings& aFindings)
{
  std::vector<fs::path> paths;
  std::error_code ec;
  fs::directory_iterator it(aFolder, ec);
  while (!ec && it != fs::directory_iterator()) {
    const fs::path& path = it->path();
    if (path.extension() == kFileExtension) {
      paths.push_back(path);
    } else if (path.extension() == ".yml") {
      aFindings.push_back({ path.filename().string(),
                            0,
                            "file would not be read",
                            "a name that ends in .yaml" });
    }
    it.increment(ec);
  }
  if (ec) {
    aFindings.push_back(
      { aFolder.string(), 0, ec.message(), "a folder that can be read" });
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

/// Checks the size and encoding of a file's content.
std::optional<Finding>
checkText(const ConfigText& aFile)
{
  if (aFile.mText.size() > kMaxFileBytes) {
    return Finding{ aFile.mName,
                    0,
                    "file is larger than " + std::to_string(kMaxFileBytes) +
                      " bytes",
                    "a smaller file" };
  }
  const int line = firstNonTextLine(aFile.mText);
  if (line > 0) {
    return Finding{ aFile.mName, line, "file is not text", "UTF-8 text" };
  }
  return std::nullopt;
}

/// Reads at most one byte more than the maximum size, to bound the memory used
/// for a file that grows during the read or is not a regular file.
std::optional<std::string>
readBounded(const fs::path& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad() || !in.is_open()) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

ModelBuilder
addFiles(std::span<const ConfigText> aFiles, Findings aFindings)
{
  ModelBuilder builder;
  builder.mFindings = std::move(aFindings);
  for (const ConfigText& file : aFiles) {
    if (const std::optional<Finding> problem = checkText(file)) {
      builder.mFindings.push_back(*problem);
      continue;
    }
    builder.addFile(file);
  }
  return builder;
}

}

tl::expected<std::vector<ConfigText>, Findings>
readFolder(const fs::path& aFolder)
{
  Findings findings;
  std::vector<ConfigText> files;
  bool hasInvalidFile = false;
  for (const fs::path& path : listFolder(aFolder, findings)) {
    const std::string name = path.filename().string();
    std::error_code ec;
    const bool regular = fs::is_regular_file(path, ec);
    std::optional<std::string> text =
      regular ? readBounded(path) : std::nullopt;
    if (!text) {
      findings.push_back(
        { name, 0, "file cannot be read", "a readable regular file" });
      continue;
    }
    files.push_back({ name, std::move(*text) });
    hasInvalidFile = hasInvalidFile || checkText(files.back());
  }
  if (files.empty() && findings.empty()) {
    findings.push_back(
      { aFolder.string(), 0, "folder has no files", "*.yaml files" });
  }
  if (hasInvalidFile || !findings.empty()) {
    // The files that were read are still checked. Checks across files are left
    // out: they would report entries as missing that are in an unread file.
    ModelBuilder builder = addFiles(files, std::move(findings));
    return tl::unexpected<Findings>(std::move(builder.mFindings));
  }
  return files;
}

tl::expected<Model, Findings>
parse(std::span<const ConfigText> aFiles)
{
  ModelBuilder builder = addFiles(aFiles, {});
  builder.finish();
  if (!builder.mFindings.empty()) {
    return tl::unexpected<Findings>(std::move(builder.mFindings));
  }
  return std::move(builder.mModel);
}

}
