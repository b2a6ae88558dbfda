#include "common/arguments.h"

#include <cstdio>

namespace radishroad::tools {

bool
endArguments(poptContext aContext, int aLast)
{
  if (aLast < -1) {
    std::fprintf(stderr,
                 "%s: %s\n",
                 poptBadOption(aContext, POPT_BADOPTION_NOALIAS),
                 poptStrerror(aLast));
  }
  poptFreeContext(aContext);
  return aLast == -1;
}

}
