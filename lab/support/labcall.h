#pragma once

// One HTTP call made and waited for, for tests of the stand-ins. The waiting runs the event loop, so the server may
// live on the same thread.
//
//     LabCaller caller(engine.port());
//     const LabAnswer answer = caller.call("GET", "/lab/stats");
//     answer.json().value("runs").toInteger();

#include "sequoiausher/transport/http/httpclient.h"

#include <QtCore/QJsonObject>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sequoiausher::Lab {

/** What came of a call. */
struct LabAnswer
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
    /** Whether the answer came whole. */
    bool whole = false;
    /** Why it did not; nothing while the call still runs. */
    std::optional<ClientErrorKind> error;

    /** The body as a JSON object, empty where it is none. */
    QJsonObject json() const;
};

/** A call that was started and not waited for. */
using PendingAnswer = std::shared_ptr<LabAnswer>;

/** Makes calls to one port of this machine. Needs a QCoreApplication. */
class LabCaller
{
public:
    explicit LabCaller(std::uint16_t port);
    ~LabCaller();

    /** Makes a call and waits for its end, at most limit. */
    LabAnswer call(const std::string &method,
                   const std::string &path,
                   const std::string &body = {},
                   const HttpHeaders &headers = {},
                   Millis limit = Millis{5000});

    /** Starts a call; its answer fills while the event loop runs. */
    PendingAnswer start(const std::string &method,
                        const std::string &path,
                        const std::string &body = {},
                        const HttpHeaders &headers = {},
                        Millis limit = Millis{5000});

    /** Runs the event loop until done, at most for limit; whether it was done. */
    static bool waitFor(const std::function<bool()> &done, Millis limit = Millis{5000});

    /** Closes the connections of all calls that still run. */
    void hangUp();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
