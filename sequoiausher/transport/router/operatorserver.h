#pragma once

// The listener for operators: the pages that callers must not reach, and the request to drain.
//
//     OperatorServer server(node, metrics, log, [&] { router.stop(); });
//     server.listen();
//
// | GET  /status, /metrics, /report | see operatorpages.h |
// | GET  /documents                 | the documents in force |
// | POST /drain                     | begins the planned stop: 202; 401 without the token where one is set |

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/transport/router/node.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Sequoiausher {

/** Belongs to the control thread. */
class OperatorServer
{
public:
    /** Uses node.settings().operators. @param onDrain called for each valid request to drain. The references outlive
     * this. */
    OperatorServer(const Node &node, const Metrics &metrics, const Log &log, std::function<void()> onDrain);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    /** @throws Error (Step::Listen) */
    void listen();
    std::uint16_t port() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
