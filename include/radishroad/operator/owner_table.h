#ifndef RADISHROAD_OPERATOR_OWNER_TABLE_H
#define RADISHROAD_OPERATOR_OWNER_TABLE_H

#include "radishroad/operator/text_table.h"
#include "radishroad/state/cell_state.h"

#include <nlohmann/json.hpp>
#include <string>

namespace radishroad {

/// Formats the shard and key ownership of one cell as text and JSON. The cell
/// state must outlive this object.
class OwnerTable
{
public:
  OwnerTable(std::string aService, const CellState& aCell);

  static TextTable makeSummaryTable();
  static TextTable makeShardTable();

  /// Adds a row for each owner with its number of shards and split keys.
  void addSummary(TextTable& aTable) const;
  /// Adds a row for each shard and each split key.
  void addShards(TextTable& aTable) const;
  /// Adds a row with the owner of one key.
  void addKey(TextTable& aTable, const std::string& aKey) const;

  nlohmann::ordered_json toJson() const;
  nlohmann::ordered_json keyToJson(const std::string& aKey) const;

private:
  void addRow(TextTable& aTable,
              std::string aShard,
              const Ownership& aOwnership) const;
  const Member* memberOf(Incarnation aIncarnation) const;
  std::string vmOf(Incarnation aIncarnation) const;
  std::string zoneOf(Incarnation aIncarnation) const;
  nlohmann::ordered_json ownershipToJson(const Ownership& aOwnership) const;

  const std::string mService;
  const CellState& mCell;
};

}

#endif
