#ifndef RADISHROAD_BASE_FINDING_H
#define RADISHROAD_BASE_FINDING_H

#include <string>
#include <vector>

namespace radishroad {

/// A diagnostic about one error in an input, with its location. Checks collect
/// all findings and report them together.
struct Finding
{
  /// The file, flag or environment variable that contains the error.
  std::string mSource;
  /// Line number, starting at 1; 0 if the source has no lines.
  int mLine = 0;
  std::string mProblem;
  /// Describes the accepted values.
  std::string mExpected;

  /// Formats as "source:line: problem; expected ...".
  std::string toString() const;
};

using Findings = std::vector<Finding>;

}

#endif
