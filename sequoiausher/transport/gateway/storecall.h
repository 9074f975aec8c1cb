#pragma once

// Calls to the platform's store, one after the other over one persistent connection. Each call has its own time limit,
// because a connection may stop delivering anything without being closed.
//
//     StoreCalls calls("10.0.9.1:80");
//     calls.get("/v1/items", timeout, [](const StoreAnswer &answer) { ... });

#include "sequoiausher/base/millis.h"
#include "sequoiausher/protocol/http/httpmessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Sequoiausher {

/** The result of a call. */
struct StoreAnswer
{
    /** 0 if there was no answer. */
    int status = 0;
    HttpHead head;
    std::string body;
    /** When the call was sent; the answer shows the store's content at this time or later. */
    Millis startedAt;
    /** Why there was no answer. */
    std::string problem;
    /** There was an answer, and it is larger than any that is read. */
    bool isTooLarge = false;
};

/** A connection to the store. One call at a time. */
class StoreCalls
{
public:
    using Done = std::function<void(const StoreAnswer &answer)>;

    /** @param longestAnswer the most bytes that the body of an answer may have. */
    StoreCalls(std::string address, std::uint64_t longestAnswer);
    ~StoreCalls();
    StoreCalls(const StoreCalls &) = delete;
    StoreCalls &operator=(const StoreCalls &) = delete;

    /** Sends GET target. done is called once, after this function returned. Requires that isBusy() is false. */
    void get(const std::string &target, Millis timeout, Done done);
    bool isBusy() const;
    /** Cancels the running call and closes its connection; done is not called. */
    void cancel();
    /** Ends a call whose time limit has passed. */
    void tick(Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
