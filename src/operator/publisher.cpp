#include "radishroad/operator/publisher.h"

#include "radishroad/operator/change_append.h"

namespace radishroad {

namespace {

using Outcome = PublishResult::Outcome;

wire::RecordT
makePublishRecord(const PublishRequest& aRequest, std::uint64_t aBase)
{
  wire::PublishT publish;
  publish.base_version = aBase;
  publish.operator_name = aRequest.mOperator;
  for (const ConfigText& file : aRequest.mFiles) {
    std::unique_ptr<wire::ConfigFileT> copy =
      std::make_unique<wire::ConfigFileT>();
    copy->name = file.mName;
    copy->text = file.mText;
    publish.files.push_back(std::move(copy));
  }
  return makeRecord(std::move(publish), makeRandomId(), wallNow());
}

/// Records the operator who published the version that follows the base.
class NextVersionOperatorFinder
{
public:
  explicit NextVersionOperatorFinder(std::uint64_t aBase)
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

Result<PublishResult>
publish(const CommandContext& aContext, const PublishRequest& aRequest)
{
  const std::string stream(kConfigStream);
  const Result<ConfigState> before = readState<ConfigState>(aContext, stream);
  if (!before) {
    return tl::unexpected<Error>(before.error());
  }
  const std::uint64_t base = aRequest.mBaseVersion.value_or(before->mVersion);
  if (base == before->mVersion && base > 0 &&
      before->mFiles == aRequest.mFiles) {
    return PublishResult{ Outcome::Unchanged, base, before->mOperator };
  }
  // Reject a base version that does not exist yet: a concurrent publish could
  // create it before this change is appended, and the change would then replace
  // a version that the operator never saw.
  if (base > before->mVersion) {
    return fail(ErrorCode::InvalidArgument,
                "version " + std::to_string(base) +
                  " does not exist; the newest is " +
                  std::to_string(before->mVersion));
  }
  NextVersionOperatorFinder operatorFinder(base);
  const Result<AppendedChange<ConfigState>> change = appendChange<ConfigState>(
    aContext,
    stream,
    makePublishRecord(aRequest, base),
    aRequest.mTimeout,
    [&operatorFinder](const wire::RecordT& aRecord, FoldVerdict aVerdict) {
      operatorFinder.onFolded(aRecord, aVerdict);
    });
  if (!change) {
    return tl::unexpected<Error>(change.error());
  }
  if (change->mVerdict == FoldVerdict::Applied) {
    return PublishResult{ Outcome::Published, base + 1, aRequest.mOperator };
  }
  return PublishResult{ Outcome::Lost,
                        change->mState.mVersion,
                        operatorFinder.name().empty() ? change->mState.mOperator
                                                      : operatorFinder.name() };
}

}
