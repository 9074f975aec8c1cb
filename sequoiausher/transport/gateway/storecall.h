#pragma once

// Calls to the platform's store, one after the other over one kept connection. Each is answered once, or fails once:
// by a time limit of its own, since a connection may have gone silent for good.
//
//     StoreCalls calls("10.0.9.1:80");
//     calls.get("/v1/items", timeout, [](const StoreAnswer &answer) { ... });

#include "sequoiausher/base/millis.h"
#include "sequoiausher/protocol/http/httpmessage.h"

#include <functional>
#include <memory>
#include <string>

namespace Sequoiausher {

/** What a call brought. */
struct StoreAnswer
{
    /** 0 where there was no answer. */
    int status = 0;
    HttpHead head;
    std::string body;
    /** When the call was sent: an answer tells of a moment that is not before it. */
    Millis startedAt;
    /** Why there was no answer. */
    std::string problem;
};

/** A connection to the store. One call at a time. */
class StoreCalls
{
public:
    using Done = std::function<void(const StoreAnswer &answer)>;

    explicit StoreCalls(std::string address);
    ~StoreCalls();
    StoreCalls(const StoreCalls &) = delete;
    StoreCalls &operator=(const StoreCalls &) = delete;

    /** Sends GET target; done is called once, later. Must not be called while a call is on its way. */
    void get(const std::string &target, Millis timeout, Done done);
    bool isBusy() const;
    /** Gives up the running call with its connection; its done is not called. */
    void cancel();
    /** Ends a call whose time is over. */
    void tick(Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
