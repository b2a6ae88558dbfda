// Feeds mutated frames to the decoder of the peer link.
// Usage: fuzz_peer_frame SEED ROUNDS
#include "radishroad/peer/frame.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <vector>

using namespace radishroad;

namespace {

using Bytes = std::vector<std::uint8_t>;

Bytes
encoded(const wire::FrameBodyUnion& aBody)
{
  const FrameBuffer buffer = encodeFrame(aBody);
  return { buffer.data(), buffer.data() + buffer.size() };
}

Bytes
requestFrame()
{
  wire::ForwardRequestT request;
  request.id_low = 7;
  request.workspace = "w";
  request.method = "POST";
  request.target = "/a?b=c";
  request.headers.push_back(std::make_unique<wire::HeaderT>());
  request.headers.back()->name = "Accept";
  request.body = { 1, 2, 3, 4 };
  wire::FrameBodyUnion body;
  body.Set(std::move(request));
  return encoded(body);
}

Bytes
answerFrame()
{
  wire::ForwardAnswerT answer;
  answer.kind = wire::AnswerKind::NotRun;
  answer.headers.push_back(std::make_unique<wire::HeaderT>());
  answer.body.resize(40);
  wire::FrameBodyUnion body;
  body.Set(std::move(answer));
  return encoded(body);
}

Bytes
renewFrame()
{
  wire::RenewT renew;
  renew.incarnation = 9;
  renew.positions.push_back(std::make_unique<wire::StreamPositionT>());
  renew.positions.back()->stream = "cell-catalog";
  wire::FrameBodyUnion body;
  body.Set(std::move(renew));
  return encoded(body);
}

Bytes
loadFrame()
{
  wire::LoadReportT load;
  load.shards.resize(5);
  load.hot_keys.push_back(std::make_unique<wire::HotKeyT>());
  wire::FrameBodyUnion body;
  body.Set(std::move(load));
  return encoded(body);
}

Bytes
relayFrame()
{
  wire::RelayRecordsT relay;
  relay.stream = "config";
  relay.records.push_back(std::make_unique<wire::RelayedRecordT>());
  relay.records.back()->data = { 5, 6 };
  wire::FrameBodyUnion body;
  body.Set(std::move(relay));
  return encoded(body);
}

void
mutate(Bytes& aBytes, std::mt19937_64& aRandom)
{
  const std::size_t changes = 1 + aRandom() % 6;
  for (std::size_t n = 0; n < changes && !aBytes.empty(); ++n) {
    const std::size_t at = aRandom() % aBytes.size();
    switch (aRandom() % 4) {
      case 0:
        aBytes[at] = static_cast<std::uint8_t>(aRandom());
        break;
      case 1:
        aBytes[at] ^= static_cast<std::uint8_t>(1U << (aRandom() % 8));
        break;
      case 2:
        aBytes.resize(at);
        break;
      default:
        aBytes.insert(aBytes.begin() + static_cast<std::ptrdiff_t>(at),
                      static_cast<std::uint8_t>(aRandom()));
        break;
    }
  }
}

/// Makes the prefix true again, so that the body is looked at more often.
void
repairPrefix(Bytes& aBytes)
{
  if (aBytes.size() >= kFramePrefixBytes) {
    const std::size_t length = aBytes.size() - kFramePrefixBytes;
    for (std::size_t n = 0; n < kFramePrefixBytes; ++n) {
      aBytes[n] = static_cast<std::uint8_t>(length >> (8 * n));
    }
  }
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: fuzz_peer_frame SEED ROUNDS\n";
    return 2;
  }
  std::mt19937_64 random(std::strtoull(aArguments[1], nullptr, 10));
  const std::uint64_t rounds = std::strtoull(aArguments[2], nullptr, 10);
  const std::vector<Bytes> corpus = {
    requestFrame(), answerFrame(), renewFrame(), loadFrame(), relayFrame()
  };
  std::uint64_t accepted = 0;
  for (std::uint64_t round = 0; round < rounds; ++round) {
    Bytes bytes = corpus[random() % corpus.size()];
    mutate(bytes, random);
    if (random() % 4 != 0) {
      repairPrefix(bytes);
    }
    const Result<wire::FrameBodyUnion> body = decodeFrame(bytes);
    if (body) {
      ++accepted;
      // What decodes must encode and decode again.
      const Bytes again = encoded(*body);
      if (!decodeFrame(again)) {
        std::cerr << "round " << round << ": does not decode again\n";
        return 1;
      }
    }
  }
  std::cout << rounds << " frames, " << accepted << " accepted\n";
  return 0;
}
