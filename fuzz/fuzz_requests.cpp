// Parses mutated requests from callers, once as a whole and once in pieces.
// Both must yield the same requests, and accepted requests must be safe to
// forward. In pieces a refusal may come later, while the header is incomplete.
#include "mutator.h"

#include "radishroad/caller/request_reader.h"
#include "radishroad/caller/target_check.h"

#include <array>
#include <string>
#include <string_view>

using namespace radishroad;
using namespace radishroad::fuzz;

namespace {

constexpr std::size_t kMaxBodyBytes = 64;
constexpr std::size_t kMaxPieceBytes = 40;
constexpr const char* kRefused = "refused\n";

constexpr std::array<std::string_view, 5> kCorpus{
  "GET /catalog/k/page?a=b HTTP/1.1\r\nHost: h\r\n"
  "Authorization: Bearer key\r\nX-Radishroad-Epoch: 3\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
  "GET /b HTTP/1.1\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\r\n",
  "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
  "5\r\nhello\r\n0\r\nX-Trailer: 1\r\n\r\nGET /c HTTP/1.1\r\n\r\n",
  "PUT /a/%20b HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
  "ok",
  "GET /a/../b HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
};

std::string
describe(const RequestReader::ReadResult& aOutcome)
{
  if (!aOutcome) {
    return kRefused;
  }
  const CallerRequest& request = aOutcome->mRequest;
  std::string text = request.mMethod + " " + request.mTarget + "\n";
  for (const wire::HeaderT& header : request.mHeaders) {
    text += header.name + ": " + header.value + "\n";
  }
  return text + request.mBody + (aOutcome->mKeepAlive ? "\n+" : "\n-");
}

bool
isSafe(const CallerRequest& aRequest)
{
  for (const wire::HeaderT& header : aRequest.mHeaders) {
    const std::string text = header.name + header.value;
    if (text.find_first_of(std::string_view("\r\n\0", 3)) !=
          std::string::npos ||
        header.name.starts_with("X-Radishroad-")) {
      return false;
    }
  }
  return targetProblem(aRequest.mTarget).empty() &&
         aRequest.mBody.size() <= kMaxBodyBytes;
}

/// Describes everything that the reader yields for the bytes. aDrawPieceSize
/// draws the size of each piece.
template<typename PieceSizeFn>
std::string
readAll(std::string_view aBytes,
        std::uint64_t aRound,
        const PieceSizeFn& aDrawPieceSize)
{
  RequestReader reader({ 512, kMaxBodyBytes });
  std::string text;
  while (!aBytes.empty()) {
    const std::size_t n = std::min(aDrawPieceSize(), aBytes.size());
    reader.feed(aBytes.substr(0, n));
    aBytes.remove_prefix(n);
    while (const std::optional<RequestReader::ReadResult> outcome =
             reader.next(Millis{ 1 })) {
      require(!*outcome || isSafe((*outcome)->mRequest),
              "accepted request is unsafe",
              aRound);
      text += describe(*outcome);
    }
  }
  return text;
}

}

int
main(int aCount, char** aArguments)
{
  const Arguments arguments =
    parseArguments({ aArguments, static_cast<std::size_t>(aCount) });
  Mutator mutator(arguments.mSeed);
  std::uint64_t acceptedCount = 0;
  for (std::uint64_t round = 0; round < arguments.mRounds; ++round) {
    const std::string_view seed = kCorpus.at(mutator.draw(kCorpus.size()));
    const Bytes bytes = mutator.mutate({ seed.begin(), seed.end() });
    const std::string text(bytes.begin(), bytes.end());
    const std::string once =
      readAll(text, round, [&text] { return text.size(); });
    const std::string fromPieces = readAll(
      text, round, [&mutator] { return mutator.draw(kMaxPieceBytes) + 1; });
    require(once == fromPieces || once == fromPieces + kRefused,
            "parsing in pieces differs from parsing as a whole",
            round);
    acceptedCount += once.ends_with(kRefused) ? 0 : 1;
  }
  std::printf("%llu inputs, %llu without a refusal\n",
              static_cast<unsigned long long>(arguments.mRounds),
              static_cast<unsigned long long>(acceptedCount));
  return 0;
}
