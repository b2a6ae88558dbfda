#include "radishroad/request/text_answer.h"

#include <memory>

namespace radishroad {

Answer
makeTextAnswer(unsigned aStatus, std::string_view aType, std::string_view aText)
{
  Answer answer;
  answer.kind = AnswerKind::Answered;
  answer.status = static_cast<std::uint16_t>(aStatus);
  std::unique_ptr<wire::HeaderT> type = std::make_unique<wire::HeaderT>();
  type->name = "Content-Type";
  type->value = aType;
  answer.headers.push_back(std::move(type));
  answer.body.assign(aText.begin(), aText.end());
  return answer;
}

}
