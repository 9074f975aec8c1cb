#pragma once

// A caller whose requests end each target that runs them, at any gateway: one and the same request again and again, or
// requests of which no two are alike that share a part of their prompts.
//
//     CrashingCaller caller(judge, offer, CrashingRequests::SharedPart, pick);
//     caller.tick(now);

#include "lab/soak/calldraw.h"
#include "lab/soak/soakjudge.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <functional>
#include <memory>
#include <optional>

namespace Sequoiausher::Lab {

/** See above. Needs a running event loop. */
class CrashingCaller
{
public:
    /** All references outlive it. @param pick the gateway that gets the next call; nothing where none takes any. */
    CrashingCaller(SoakJudge &judge,
                   const SoakOffer &offer,
                   CrashingRequests requests,
                   std::function<std::optional<SoakEntry>()> pick);

    void rest();
    void tick(Millis now);

private:
    void send(Millis now);
    void finish(Millis now);
    SoakCall nextCall() const;
    /** The parts of the prompt: the crashing one stands at another place each time, never last. */
    std::string nextParts() const;

    SoakJudge &judge;
    const SoakOffer &offer;
    CrashingRequests requests;
    std::function<std::optional<SoakEntry>()> pick;
    /** The same for all calls, since each organisation's is a request of its own. */
    std::string organisation;
    bool isResting = false;
    std::unique_ptr<FakeCaller> connection;
    std::optional<SoakCall> current;
    Millis nextAt;
    std::uint64_t calls = 0;
};

} // namespace Sequoiausher::Lab
