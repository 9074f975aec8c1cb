#pragma once

// The daemon: a control thread with the node, a pool of workers for requests, and the planned stop.
//
//     Router router(settings, log);
//     router.start();                 // throws Error (Step::Listen)
//     QObject::connect(..., [&] { router.stop(); });
//     return application.exec();      // ends once the stop is complete

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/protocol/settings/routersettings.h"

#include <functional>
#include <memory>

namespace Sequoiausher {

/** One router process. Belongs to the main thread, which is the control thread. */
class Router
{
public:
    /** @param log outlives this. @param onStopped called once, when everything in progress has ended. */
    Router(const RouterSettings &settings, const Log &log, std::function<void()> onStopped);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /** Starts to listen for callers and peers. @throws Error (Step::Listen) */
    void start();
    /** Begins the planned stop; a second call has no effect. */
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
