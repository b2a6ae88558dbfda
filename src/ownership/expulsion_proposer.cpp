#include "radishroad/ownership/expulsion_proposer.h"

#include <algorithm>

namespace radishroad {

namespace {

LeaseId
leaseIdOf(const Member& aMember)
{
  return { aMember.mIncarnation, aMember.mWitnessVersion };
}

}

ExpulsionProposer::ExpulsionProposer(Incarnation aSelf)
  : mSelf(aSelf)
{
}

std::vector<Incarnation>
ExpulsionProposer::attemptExpulsion(const Member& aMember, Millis aNow)
{
  std::vector<Incarnation> toAsk;
  const auto [it, added] = mAttempts.try_emplace(leaseIdOf(aMember));
  Attempt& attempt = it->second;
  if (!added && aNow < attempt.mNextAskAt) {
    return toAsk;
  }
  attempt.mNextAskAt = aNow + kConsentRequestInterval;
  for (const Incarnation witness : aMember.mWitnesses) {
    if (!attempt.mConsents.contains(witness)) {
      toAsk.push_back(witness);
    }
  }
  return toAsk;
}

void
ExpulsionProposer::onConsent(LeaseId aLeaseId, Incarnation aWitness)
{
  const auto it = mAttempts.find(aLeaseId);
  if (it != mAttempts.end()) {
    it->second.mConsents.insert(aWitness);
  }
}

void
ExpulsionProposer::onRefusal(LeaseId aLeaseId, Millis aWait, Millis aNow)
{
  const auto it = mAttempts.find(aLeaseId);
  if (it != mAttempts.end()) {
    it->second.mNextAskAt = aNow + std::clamp(aWait, Millis{ 1 }, kLeaseTtl);
  }
}

std::optional<wire::ExpelT>
ExpulsionProposer::proposal(const Member& aMember, Millis aNow)
{
  const auto it = mAttempts.find(leaseIdOf(aMember));
  if (it == mAttempts.end() || aNow < it->second.mNextProposal) {
    return std::nullopt;
  }
  wire::ExpelT expel;
  for (const Incarnation witness : aMember.mWitnesses) {
    if (it->second.mConsents.contains(witness)) {
      expel.consents.push_back(witness);
    }
  }
  if (expel.consents.size() * 2 <= aMember.mWitnesses.size()) {
    return std::nullopt;
  }
  expel.incarnation = aMember.mIncarnation;
  expel.witness_version = aMember.mWitnessVersion;
  expel.proposer = mSelf;
  it->second.mNextProposal = aNow + kProposalRetryInterval;
  return expel;
}

void
ExpulsionProposer::remove(LeaseId aLeaseId)
{
  mAttempts.erase(aLeaseId);
}

}
