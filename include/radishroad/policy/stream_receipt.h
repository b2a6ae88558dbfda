#ifndef RADISHROAD_POLICY_STREAM_RECEIPT_H
#define RADISHROAD_POLICY_STREAM_RECEIPT_H

#include <cstddef>
#include <cstdint>

namespace radishroad {

/// The receiver's side of the flow control of one streamed body: checks that no
/// part is missing and that the sender keeps to its credit, and decides when to
/// give more. Does no I/O.
class StreamReceipt
{
public:
  /// aWindowBytes: credit that the sender begins with. aBodyBytes: length of
  /// the whole body; negative if unknown.
  StreamReceipt(std::size_t aWindowBytes, std::int64_t aBodyBytes);

  /// False if a part is missing, or if the sender exceeds its credit or the
  /// body's length. Sequence numbers begin at 1.
  bool onPart(std::uint32_t aSequence, std::size_t aBytes);
  /// The reader has taken aBytes. Returns the credit to give now: 0 until a
  /// quarter of the window is free, so that not every part is answered.
  std::size_t onTaken(std::size_t aBytes);
  /// Whether the parts so far are the whole body, given that the sender says
  /// so.
  bool isWhole() const;

private:
  std::size_t mWindowBytes;
  std::int64_t mBodyBytes;
  std::size_t mCredit;
  std::uint32_t mLastSequence = 0;
  std::uint64_t mReceived = 0;
  std::size_t mTaken = 0;
};

}

#endif
