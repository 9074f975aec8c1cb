#pragma once

// A router's status as JSON, as `sequoiausher status` and other tools read it from /status.
//
//     exchange.respond(200, headers, statusJson(node.status()));

#include "sequoiausher/transport/router/node.h"

#include <string>

namespace Sequoiausher {

/** The status as one JSON object. */
std::string statusJson(const NodeStatus &status);

/** The documents in force, with revisions and bodies, as one JSON object. */
std::string documentsJson(const std::vector<DocumentPointer> &documents);

} // namespace Sequoiausher
