#include "radishroad/config/text_check.h"

#include <algorithm>
#include <cstdint>

namespace radishroad::config {

namespace {

/// Length of the UTF-8 sequence that begins with this byte; 0 if the byte is
/// NUL or cannot begin a sequence.
std::size_t
sequenceLength(unsigned char aLead)
{
  if (aLead == 0) {
    return 0;
  }
  if (aLead < 0x80) {
    return 1;
  }
  if (aLead >= 0xC2 && aLead < 0xE0) {
    return 2;
  }
  if (aLead >= 0xE0 && aLead < 0xF0) {
    return 3;
  }
  if (aLead >= 0xF0 && aLead < 0xF5) {
    return 4;
  }
  return 0;
}

bool
isContinuation(char aByte)
{
  return (static_cast<unsigned char>(aByte) & 0xC0U) == 0x80U;
}

/// Rejects overlong encodings, surrogates and values above U+10FFFF. The second
/// byte is enough to detect each of them.
bool
isSecondByteInRange(unsigned char aLead, unsigned char aSecond)
{
  switch (aLead) {
    case 0xE0:
      return aSecond >= 0xA0;
    case 0xED:
      return aSecond < 0xA0;
    case 0xF0:
      return aSecond >= 0x90;
    case 0xF4:
      return aSecond < 0x90;
    default:
      return true;
  }
}

/// Length of the valid UTF-8 sequence at the front; 0 if there is none.
std::size_t
validSequenceLength(std::string_view aBytes)
{
  const unsigned char lead = static_cast<unsigned char>(aBytes.front());
  const std::size_t n = sequenceLength(lead);
  if (n == 0 || n > aBytes.size()) {
    return 0;
  }
  const std::string_view rest = aBytes.substr(1, n - 1);
  if (!std::all_of(rest.begin(), rest.end(), isContinuation)) {
    return 0;
  }
  if (n > 1 &&
      !isSecondByteInRange(lead, static_cast<unsigned char>(rest.front()))) {
    return 0;
  }
  return n;
}

}

int
firstNonTextLine(std::string_view aBytes)
{
  int line = 1;
  while (!aBytes.empty()) {
    const std::size_t n = validSequenceLength(aBytes);
    if (n == 0) {
      return line;
    }
    line += aBytes.front() == '\n' ? 1 : 0;
    aBytes.remove_prefix(n);
  }
  return 0;
}

}
