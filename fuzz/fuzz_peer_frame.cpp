// Decodes mutated frames, with their length prefix, as the peer link does.
#include "mutator.h"

#include "radishroad/peer/frame.h"

using namespace radishroad;
using namespace radishroad::fuzz;

namespace {

/// One mutated frame in this many keeps a wrong length prefix.
constexpr std::uint64_t kWrongPrefixEvery = 4;

template<typename Body>
Bytes
frameOf(Body aBody)
{
  wire::FrameBodyUnion body;
  body.Set(std::move(aBody));
  const FrameBuffer buffer = encodeFrame(body);
  return { buffer.data(), buffer.data() + buffer.size() };
}

Bytes
requestFrame()
{
  wire::ForwardRequestT request;
  request.id_low = 7;
  request.workspace = "w";
  request.target = "/a?b=c";
  request.headers.push_back(std::make_unique<wire::HeaderT>());
  request.headers.back()->name = "Accept";
  request.body = { 1, 2, 3, 4 };
  return frameOf(std::move(request));
}

Bytes
answerFrame()
{
  wire::ForwardAnswerT answer;
  answer.kind = wire::AnswerKind::NotRun;
  answer.headers.push_back(std::make_unique<wire::HeaderT>());
  answer.body.resize(40);
  return frameOf(std::move(answer));
}

Bytes
loadReportFrame()
{
  wire::LoadReportT load;
  load.shards.resize(5);
  load.hot_keys.push_back(std::make_unique<wire::HotKeyT>());
  return frameOf(std::move(load));
}

Bytes
promiseFrame()
{
  wire::PromiseT promise;
  promise.incarnation = 9;
  promise.positions.push_back(std::make_unique<wire::StreamPositionT>());
  return frameOf(std::move(promise));
}

/// Corrects the length prefix, so that the decoder reads the body.
void
repairPrefix(Bytes& aBytes)
{
  if (aBytes.size() < kFramePrefixBytes) {
    return;
  }
  const std::size_t length = aBytes.size() - kFramePrefixBytes;
  for (std::size_t n = 0; n < kFramePrefixBytes; ++n) {
    aBytes[n] = static_cast<std::uint8_t>(length >> (8 * n));
  }
}

}

int
main(int aCount, char** aArguments)
{
  const Arguments arguments =
    parseArguments({ aArguments, static_cast<std::size_t>(aCount) });
  Mutator mutator(arguments.mSeed);
  const std::vector<Bytes> corpus = {
    requestFrame(), answerFrame(), loadReportFrame(), promiseFrame()
  };
  std::uint64_t accepted = 0;
  for (std::uint64_t round = 0; round < arguments.mRounds; ++round) {
    Bytes bytes = mutator.mutate(corpus[mutator.draw(corpus.size())]);
    if (mutator.draw(kWrongPrefixEvery) != 0) {
      repairPrefix(bytes);
    }
    const Result<wire::FrameBodyUnion> body = decodeFrame(bytes);
    if (!body) {
      continue;
    }
    ++accepted;
    const FrameBuffer encoded = encodeFrame(*body);
    require(decodeFrame({ encoded.data(), encoded.size() }).has_value(),
            "re-encoded frame does not decode",
            round);
  }
  std::printf("%llu frames accepted\n",
              static_cast<unsigned long long>(accepted));
  return 0;
}
