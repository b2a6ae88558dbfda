#ifndef RADISHROAD_STATE_SNAPSHOT_CODEC_H
#define RADISHROAD_STATE_SNAPSHOT_CODEC_H

#include "radishroad/base/error.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/state/config_state.h"
#include "radishroad/state/records.h"

#include <span>

namespace radishroad {

/// A whole state as bytes. Equal states give equal bytes.
Bytes
encodeState(const CellState& aState);

Bytes
encodeState(const ConfigState& aState);

/// Reads encodeState's bytes into aState. ErrorCode::Corrupt, with aState as
/// before, for anything else and for a state of the other kind.
Result<void>
decodeState(std::span<const std::uint8_t> aBytes, CellState& aState);

Result<void>
decodeState(std::span<const std::uint8_t> aBytes, ConfigState& aState);

}

#endif
