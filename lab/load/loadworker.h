#pragma once

// One thread of the load tool: sends the requests of a plan in an open or a closed loop and judges the answers.
//
//     LoadWorker worker(options, 0);
//     worker.start();
//     worker.wait();
//     report.merge(worker.report());

#include "lab/load/loadplan.h"
#include "lab/load/loadreport.h"
#include "sequoiausher/base/millis.h"

#include <QThread>

#include <cstddef>
#include <memory>

namespace Sequoiausher::Lab {

/** How to send. */
struct LoadWorkerOptions
{
    LoadPlanOptions plan;
    /** Requests a second of this worker, an open loop; 0 for a closed loop. */
    double rate = 0;
    /** Closed loop: calls that are open at a time. */
    std::size_t concurrency = 1;
    /** Open loop: arrivals beyond so many open calls are left out and counted. */
    std::size_t maximumOpen = 20000;
    /** How long new requests are sent. */
    Millis duration{10000};
    /** How long the last answers are waited for after that. */
    Millis drain{30000};
    Millis deadline{60000};
    /** How long after the first the second sending of a request follows; 0 for at the same time. */
    Millis duplicateDelay{0};
};

/** The thread. Stops by itself after duration and drain. */
class LoadWorker : public QThread
{
public:
    LoadWorker(LoadWorkerOptions options, std::size_t number);
    ~LoadWorker() override;

    /** What was seen. Only after wait(). */
    const LoadReport &report() const;

protected:
    void run() override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
