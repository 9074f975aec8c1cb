#pragma once

// Requests the operators' pages of several routers at once and waits for the answers.
//
//     OperatorClient client;
//     const std::vector<PageAnswer> answers = client.ask({"127.0.0.1:7401"}, {"GET", "/status", ""});

#include "sequoiausher/base/millis.h"

#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

/** The request that is sent to each router. */
struct PageRequest
{
    std::string method = "GET";
    std::string path;
    /** Sent as `Authorization: Bearer`; not sent if empty. */
    std::string token;
};

/** The answer of one router. */
struct PageAnswer
{
    /** The IP address and port that were asked. */
    std::string address;
    /** The HTTP status; 0 if there was no answer. */
    int status = 0;
    std::string body;
    /** Why there is no complete answer; empty if there is one. */
    std::string failure;

    bool isGood() const
    {
        return this->failure.empty() && this->status / 100 == 2;
    }
    /** Why the answer is not usable. */
    std::string reason() const;
};

/** Runs its own event loop while it waits; creates the application object if there is none. */
class OperatorClient
{
public:
    explicit OperatorClient(Millis timeout = Millis{3000});
    ~OperatorClient();
    OperatorClient(const OperatorClient &) = delete;
    OperatorClient &operator=(const OperatorClient &) = delete;

    /** Returns one answer for each address, in the same order. */
    std::vector<PageAnswer> ask(const std::vector<std::string> &addresses, const PageRequest &request);
    /** Returns the body of one router's page. @throws Error at step Connect, with the router as its peer. */
    std::string get(const std::string &address, const std::string &path);

private:
    class Private;
    std::unique_ptr<Private> d;
};

/** Returns the name of a router in error messages. */
std::string routerAt(const std::string &address);

} // namespace Sequoiausher
