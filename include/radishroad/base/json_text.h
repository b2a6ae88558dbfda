#ifndef RADISHROAD_BASE_JSON_TEXT_H
#define RADISHROAD_BASE_JSON_TEXT_H

#include "radishroad/base/error.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace radishroad {

/// Whether aText is valid UTF-8, as strings in JSON must be.
bool
isUtf8(std::string_view aText);

/// Replaces bytes that are not valid UTF-8 by U+FFFD.
std::string
replaceInvalidUtf8(std::string_view aText);

/// Values nested more deeply are not parsed: code that copies, compares or
/// writes a value needs stack for each level.
constexpr int kMaxJsonDepth = 32;

/// Parses a JSON text. Fails with ErrorCode::Corrupt if it is malformed, holds
/// a number out of the range of double, or is nested too deeply.
Result<nlohmann::json>
parseJson(std::string_view aText);

/// Writes a value in one line. Bytes of strings that are not valid UTF-8 are
/// replaced by U+FFFD.
std::string
writeJson(const nlohmann::json& aValue);

}

#endif
