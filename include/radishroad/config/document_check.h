#ifndef RADISHROAD_CONFIG_DOCUMENT_CHECK_H
#define RADISHROAD_CONFIG_DOCUMENT_CHECK_H

#include <string>

namespace radishroad::config {

/// Returns the line, counted from 1, at which a second YAML document or text
/// outside of a document begins; 0 if there is at most one document. Throws
/// YAML::Exception if the YAML is invalid.
int
lineOfSecondDocument(const std::string& aText);

}

#endif
