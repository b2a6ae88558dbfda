#ifndef RADISHROAD_REQUEST_TEXT_ANSWER_H
#define RADISHROAD_REQUEST_TEXT_ANSWER_H

#include "radishroad/request/request.h"

#include <string_view>

namespace radishroad {

/// An answer of this daemon's own, of one content type.
Answer
makeTextAnswer(unsigned aStatus,
               std::string_view aType,
               std::string_view aText);

}

#endif
