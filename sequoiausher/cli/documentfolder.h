#pragma once

// A folder that holds the platform's documents as files: rules/fleet.ini is the document rules/fleet.
//
//     const DocumentSet documents = readDocumentFolder("etc/documents");

#include "sequoiausher/state/documents/documenttable.h"

#include <string>

namespace Sequoiausher {

/** Returns the content of a file. @throws Error at step Settings, with the file as its peer. */
std::string readFile(const std::string &path);

/** Reads every .ini file below folder. @throws Error at step Settings if the folder or a file cannot be read. */
DocumentSet readDocumentFolder(const std::string &folder);

/** Returns the path of the file in folder from which readDocumentFolder() reads the document. */
std::string documentPath(const std::string &folder, const std::string &document);

} // namespace Sequoiausher
