#ifndef RADISHROAD_BASE_FINDING_H
#define RADISHROAD_BASE_FINDING_H

#include <string>
#include <vector>

namespace radishroad {

/// One mistake in an input, with its place. Checks collect findings and
/// report them together.
struct Finding
{
  /// File, flag or environment variable.
  std::string mSource;
  /// First line is 1; 0 where lines have no meaning.
  int mLine = 0;
  std::string mProblem;
  /// What would have been accepted.
  std::string mExpected;

  /// "source:line: problem; expected ..."
  std::string toString() const;
};

using Findings = std::vector<Finding>;

}

#endif
