#include "common/arguments.h"

#include <cstdio>

namespace radishroad::tools {

bool
finishArguments(poptContext aContext, int aLastResult)
{
  if (aLastResult < -1) {
    std::fprintf(stderr,
                 "%s: %s\n",
                 poptBadOption(aContext, POPT_BADOPTION_NOALIAS),
                 poptStrerror(aLastResult));
  }
  poptFreeContext(aContext);
  return aLastResult == -1;
}

}
