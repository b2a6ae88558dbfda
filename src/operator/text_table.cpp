#include "radishroad/operator/text_table.h"

#include <algorithm>

namespace radishroad {

namespace {

constexpr std::size_t kColumnGap = 2;

}

TextTable::TextTable(Row aTitles)
{
  mRows.push_back(std::move(aTitles));
}

void
TextTable::add(Row aRow)
{
  aRow.resize(mRows.front().size());
  mRows.push_back(std::move(aRow));
}

std::string
TextTable::toText() const
{
  std::vector<std::size_t> widths(mRows.front().size());
  for (const Row& row : mRows) {
    for (std::size_t it = 0; it < row.size(); ++it) {
      widths[it] = std::max(widths[it], row[it].size() + kColumnGap);
    }
  }
  std::string text;
  for (const Row& row : mRows) {
    std::string line;
    for (std::size_t it = 0; it < row.size(); ++it) {
      line += row[it] + std::string(widths[it] - row[it].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}
