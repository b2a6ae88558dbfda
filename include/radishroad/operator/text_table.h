#ifndef RADISHROAD_OPERATOR_TEXT_TABLE_H
#define RADISHROAD_OPERATOR_TEXT_TABLE_H

#include <cstddef>
#include <string>
#include <vector>

namespace radishroad {

/// Rows of text in aligned columns.
class TextTable
{
public:
  using Row = std::vector<std::string>;

  explicit TextTable(Row aTitles);

  /// Pads or truncates the row to the number of titles.
  void add(Row aRow);
  std::string toText() const;

private:
  std::vector<Row> mRows;
};

}

#endif
