#include "radishroad/config/document_check.h"

#include <sstream>
#include <yaml-cpp/anchor.h>
#include <yaml-cpp/emitterstyle.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

namespace radishroad::config {

namespace {

/// Records the line at which the latest document begins.
class DocumentStartRecorder : public YAML::EventHandler
{
public:
  int line() const { return mLine; }

  void OnDocumentStart(const YAML::Mark& aMark) override
  {
    mLine = aMark.line + 1;
  }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark&,
                const std::string&,
                YAML::anchor_t,
                const std::string&) override
  {
  }
  void OnSequenceStart(const YAML::Mark&,
                       const std::string&,
                       YAML::anchor_t,
                       YAML::EmitterStyle::value) override
  {
  }
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&,
                  const std::string&,
                  YAML::anchor_t,
                  YAML::EmitterStyle::value) override
  {
  }
  void OnMapEnd() override {}

private:
  int mLine = 0;
};

}

int
lineOfSecondDocument(const std::string& aText)
{
  // YAML::LoadAll does not terminate on some texts, such as one that begins
  // with a comma: it finds documents there without consuming any input.
  std::istringstream in(aText);
  YAML::Parser parser(in);
  DocumentStartRecorder recorder;
  const bool hasSecond =
    parser.HandleNextDocument(recorder) && parser.HandleNextDocument(recorder);
  return hasSecond ? recorder.line() : 0;
}

}
