#ifndef RADISHROAD_OPERATOR_OWNER_TABLE_H
#define RADISHROAD_OPERATOR_OWNER_TABLE_H

#include "radishroad/state/cell_state.h"

#include <nlohmann/json.hpp>
#include <string>

namespace radishroad {

/// Shows who owns what in one cell. Borrows the state.
class OwnerTable
{
public:
  OwnerTable(std::string aService, const CellState& aCell);

  /// One line for each owner, with its shards as ranges.
  std::string summaryToText() const;
  /// One line for each shard and each split key.
  std::string shardsToText() const;
  nlohmann::ordered_json toJson() const;

  std::string keyToText(const std::string& aKey) const;
  nlohmann::ordered_json keyToJson(const std::string& aKey) const;

private:
  const Member* memberOf(Incarnation aIncarnation) const;
  std::string vmOf(Incarnation aIncarnation) const;
  std::string zoneOf(Incarnation aIncarnation) const;
  nlohmann::ordered_json ownershipToJson(const Ownership& aOwnership) const;

  const std::string mService;
  const CellState& mCell;
};

}

#endif
