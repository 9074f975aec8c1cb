#pragma once

// Asks routers for their operators' pages, several at a time, and waits for the answers.
//
//     OperatorClient client;
//     const std::vector<PageAnswer> answers = client.ask({"127.0.0.1:7401"}, {"GET", "/status", ""});

#include "sequoiausher/base/millis.h"

#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

/** What is asked of each router. */
struct PageRequest
{
    std::string method = "GET";
    std::string path;
    /** Sent as Authorization: Bearer; none where empty. */
    std::string token;
};

/** What came of it. */
struct PageAnswer
{
    /** IP number and port that were asked. */
    std::string address;
    /** 0 where no answer came. */
    int status = 0;
    std::string body;
    /** Why no whole answer came; empty where one did. */
    std::string failure;

    bool isGood() const
    {
        return this->failure.empty() && this->status / 100 == 2;
    }
    /** Why it is not good. */
    std::string reason() const;
};

/** Waits with an event loop of its own; makes the application object where there is none. */
class OperatorClient
{
public:
    explicit OperatorClient(Millis timeout = Millis{3000});
    ~OperatorClient();
    OperatorClient(const OperatorClient &) = delete;
    OperatorClient &operator=(const OperatorClient &) = delete;

    /** One answer for each address, in their order. */
    std::vector<PageAnswer> ask(const std::vector<std::string> &addresses, const PageRequest &request);
    /** The body of one router's page. @throws Error at step Connect, with the router as its peer. */
    std::string get(const std::string &address, const std::string &path);

private:
    class Private;
    std::unique_ptr<Private> d;
};

/** How an error names a router that was asked. */
std::string routerAt(const std::string &address);

} // namespace Sequoiausher
