#include "radishroad/base/finding.h"

namespace radishroad {

std::string
Finding::toString() const
{
  std::string text = mSource;
  if (mLine > 0) {
    text += ":" + std::to_string(mLine);
  }
  text += ": " + mProblem;
  if (!mExpected.empty()) {
    text += "; expected " + mExpected;
  }
  return text;
}

}
