#include "radishroad/operator/publisher.h"

#include "radishroad/operator/change_append.h"

namespace radishroad {

namespace {

using Kind = PublicationEnd::Kind;

wire::RecordT
makePublish(const Publication& aPublication, std::uint64_t aBase)
{
  wire::PublishT publish;
  publish.base_version = aBase;
  publish.operator_name = aPublication.mOperator;
  for (const ConfigText& file : aPublication.mFiles) {
    std::unique_ptr<wire::ConfigFileT> copy =
      std::make_unique<wire::ConfigFileT>();
    copy->name = file.mName;
    copy->text = file.mText;
    publish.files.push_back(std::move(copy));
  }
  return makeRecord(std::move(publish), makeRandomId(), wallNow());
}

/// Remembers who published the version after the base.
class WinnerFinder
{
public:
  explicit WinnerFinder(std::uint64_t aBase)
    : mBase(aBase)
  {
  }

  void onFolded(const wire::RecordT& aRecord, FoldVerdict aVerdict)
  {
    const wire::PublishT* publish = aRecord.change.AsPublish();
    if (publish != nullptr && aVerdict == FoldVerdict::Applied &&
        publish->base_version == mBase) {
      mName = publish->operator_name;
    }
  }

  const std::string& name() const { return mName; }

private:
  std::uint64_t mBase;
  std::string mName;
};

}

Result<PublicationEnd>
publish(const Surroundings& aSurroundings, const Publication& aPublication)
{
  const std::string stream(kConfigStream);
  const Result<ConfigState> before =
    readState<ConfigState>(aSurroundings, stream);
  if (!before) {
    return tl::unexpected<Error>(before.error());
  }
  const std::uint64_t base =
    aPublication.mBaseVersion.value_or(before->mVersion);
  if (base == before->mVersion && base > 0 &&
      before->mFiles == aPublication.mFiles) {
    return PublicationEnd{ Kind::Unchanged, base, before->mOperator };
  }
  // A version that does not exist yet must not come true by another's
  // publication.
  if (base > before->mVersion) {
    return fail(ErrorCode::InvalidArgument,
                "version " + std::to_string(base) +
                  " does not exist; the newest is " +
                  std::to_string(before->mVersion));
  }
  WinnerFinder winner(base);
  const Result<AppendedChange<ConfigState>> change = appendChange<ConfigState>(
    aSurroundings,
    stream,
    makePublish(aPublication, base),
    aPublication.mTimeout,
    [&winner](const wire::RecordT& aRecord, FoldVerdict aVerdict) {
      winner.onFolded(aRecord, aVerdict);
    });
  if (!change) {
    return tl::unexpected<Error>(change.error());
  }
  if (change->mVerdict == FoldVerdict::Applied) {
    return PublicationEnd{ Kind::Published, base + 1, aPublication.mOperator };
  }
  return PublicationEnd{ Kind::Lost,
                         change->mState.mVersion,
                         winner.name().empty() ? change->mState.mOperator
                                               : winner.name() };
}

}
