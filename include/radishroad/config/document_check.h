#ifndef RADISHROAD_CONFIG_DOCUMENT_CHECK_H
#define RADISHROAD_CONFIG_DOCUMENT_CHECK_H

#include <string>

namespace radishroad::config {

/// Line, from 1, at which a second YAML document begins or text that belongs
/// to none; 0 if the text is at most one document. Throws YAML::Exception if
/// the YAML is broken.
int
lineOfSecondDocument(const std::string& aText);

}

#endif
