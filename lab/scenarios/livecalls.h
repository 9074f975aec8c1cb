#pragma once

// An open-loop load of chats on a fleet of real processes: calls begin at set times whatever becomes of the earlier
// ones, go to all routers in turn, and each records when its first token came and what it was told.
//
//     LiveCalls calls(fleet, 1);
//     calls.add({.at = Millis{20}, .chat = "c7", .tokens = 40});
//     calls.at(Millis{3000}, [&] { fleet.router(2).kill(); });
//     calls.run(Millis{4000});
//     calls.made();

#include "lab/fleet/fleet.h"
#include "sequoiausher/base/requestclass.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** One call that is to be made. */
struct LiveCall
{
    /** After run() begins. */
    Millis at;
    /** Its key is key-NAME; see liveOrganisations(). */
    std::string organisation = "lab";
    RequestClass requestClass = RequestClass::Interactive;
    std::string chat;
    /** Words of the prompt, the same for each call of a chat. */
    std::size_t promptWords = 8;
    int tokens = 40;
};

/** What came of it. */
struct LiveAnswer
{
    LiveCall call;
    std::size_t router = 0;
    std::string requestId;
    int status = 0;
    bool whole = false;
    bool ended = false;
    bool hasRetryAfter = false;
    Millis startedAt;
    Millis headAt;
    /** The first bytes of the answer. */
    Millis firstAt;
    Millis endedAt;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
};

/** The document of these organisations, each with the key key-NAME. */
std::string liveOrganisations(const std::vector<std::string> &names);

/** See above. Needs a QCoreApplication. */
class LiveCalls
{
public:
    LiveCalls(Fleet &fleet, std::uint64_t seed);
    ~LiveCalls();

    void add(const LiveCall &call);
    /** Does something that long after run() begins. */
    void at(Millis when, std::function<void()> action);
    /** Calls avoid this router from now on, as the platform's balancer does once it has noticed. */
    void avoid(std::size_t router);
    /** Makes all calls and waits for their ends, at most drain beyond the last one. */
    void run(Millis drain);
    const std::vector<std::shared_ptr<LiveAnswer>> &made() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
