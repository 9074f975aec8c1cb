#pragma once

// Formats a router's status as JSON, which `sequoiausher status` and other tools read from /status.
//
//     exchange.respond(200, headers, statusJson(node.status()));

#include "sequoiausher/transport/router/node.h"

#include <string>

namespace Sequoiausher {

/** Returns the status as one JSON object. */
std::string statusJson(const NodeStatus &status);

/** Returns the documents in force, with revisions and bodies, as one JSON object. */
std::string documentsJson(const std::vector<DocumentPointer> &documents);

} // namespace Sequoiausher
