#include "radishroad/upstream/response_trace.h"

namespace radishroad {

std::string_view
responseEndName(ResponseTrace::End aEnd)
{
  switch (aEnd) {
    case ResponseTrace::End::None:
      return "none";
    case ResponseTrace::End::Whole:
      return "whole";
    case ResponseTrace::End::BeforeHead:
      return "before-head";
    case ResponseTrace::End::InHead:
      return "in-head";
    case ResponseTrace::End::InBody:
      return "in-body";
    case ResponseTrace::End::Failed:
      return "failed";
    case ResponseTrace::End::TimedOut:
      return "timed-out";
    case ResponseTrace::End::Malformed:
      return "malformed";
    case ResponseTrace::End::OtherRequest:
      return "other-request";
    case ResponseTrace::End::TooLarge:
      return "too-large";
    case ResponseTrace::End::NoMemory:
      return "no-memory";
    case ResponseTrace::End::Unframed:
      return "unframed";
  }
  return "";
}

}
