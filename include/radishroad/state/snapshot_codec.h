#ifndef RADISHROAD_STATE_SNAPSHOT_CODEC_H
#define RADISHROAD_STATE_SNAPSHOT_CODEC_H

#include "radishroad/base/error.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/state/config_state.h"
#include "radishroad/state/records.h"

#include <span>

namespace radishroad {

/// Serializes a complete state. Equal states give equal bytes.
Bytes
encodeState(const CellState& aState);

Bytes
encodeState(const ConfigState& aState);

/// Deserializes the output of encodeState() into aState. Returns
/// ErrorCode::Corrupt and leaves aState unchanged if the bytes are invalid or
/// hold the other kind of state.
Result<void>
decodeState(std::span<const std::uint8_t> aBytes, CellState& aState);

Result<void>
decodeState(std::span<const std::uint8_t> aBytes, ConfigState& aState);

}

#endif
