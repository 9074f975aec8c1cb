#pragma once

// Reads and watches the platform's configuration service, as far as the spread of documents says that this router
// shall. The service is never written to.
//
//     PlatformReader reader(client, settings, listener);
//     reader.poke();    // after each tick: starts a call where the plan wants one and none is running

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/spread/spread.h"
#include "sequoiausher/transport/http/httpclient.h"

#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

/** What the reader asks and tells. Called on the reader's own thread. */
class PlatformListener
{
public:
    virtual ~PlatformListener() = default;

    /** What is to be read now. */
    virtual ReadPlan readPlan() = 0;
    /** The names of listed whose bodies are wanted. */
    virtual std::vector<std::string> wanted(const std::vector<DocumentVersion> &listed) = 0;
    /** Documents were read; whole says that nothing the service lists is missing. */
    virtual void learnt(const std::vector<Document> &documents, bool whole) = 0;
    /** The service answered, be it with nothing new. */
    virtual void serviceAnswered() = 0;
    /** A call failed. */
    virtual void serviceFailed(const std::string &address, const std::string &reason) = 0;
};

/** How the service is read. */
struct PlatformReaderOptions
{
    /** IP numbers and ports; on a failure the next is tried. Not empty. */
    std::vector<std::string> addresses;
    Millis watchTimeout{1000};
    Millis callTimeout{1000};
    /** The first wait after a failure; doubles up to the longest, with a random part so that readers spread out. */
    Millis firstBackOff{100};
    Millis longestBackOff{5000};
    /** How often the whole list is compared, against a watch that missed something or a service that restarted. */
    Millis wholeListEvery{60000};
    std::uint64_t seed = 0;
};

/** One router's reader. Belongs to the thread of its client. */
class PlatformReader
{
public:
    /** @param client and listener outlive the reader. */
    PlatformReader(HttpClient &client, const PlatformReaderOptions &options, PlatformListener &listener);
    ~PlatformReader();
    PlatformReader(const PlatformReader &) = delete;
    PlatformReader &operator=(const PlatformReader &) = delete;

    /** Starts what the plan wants, unless a call is running or a back-off is. Cheap; call a few times a second. */
    void poke(Millis now);

    /** Calls made so far, a waiting watch as one. */
    std::uint64_t calls() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
