#pragma once

// A gateway before targets that end as soon as they run a request whose path contains "crash".
//
//     CrashBed bed("desk", 10);
//     bed.start();
//     CHECK(bed.callAt(bed.address(), "/desk/crash", "X-Parts: first,second,own\r\n") == 502);
//     CHECK(bed.crashes == 1);

#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <QTimer>

#include <cstddef>
#include <string>

namespace Sequoiausher {

/** See above. */
struct CrashBed : GatewayTestbed
{
    /** Gateways that reach each other have exchanged their observations by then. */
    static constexpr Millis exchangeTime{1500};

    explicit CrashBed(const std::string &service = "desk", int targetCount = 10)
    {
        this->publish(configuration());
        for (int i = 0; i < targetCount; ++i) {
            const std::string name = "t" + std::to_string(i);
            FakeServer &target = this->addTarget(name, service);
            target.answers = [this, name](FakeRequest &request) { this->run(name, request); };
        }
    }

    void run(const std::string &name, FakeRequest &request)
    {
        if (request.head.target.find("crash") == std::string::npos) {
            request.reply("200 OK", "well");
            return;
        }
        if (request.head.target.find("begun") != std::string::npos) {
            request.beginEvents();
            request.event(1);
        }
        this->crashes += 1;
        // Not in the middle of the server's own call.
        QTimer::singleShot(0, [this, name] { this->crashTarget(name); });
    }

    /** Sends one request to the gateway with that address. @return the status of the answer. */
    int callAt(const std::string &gateway,
               const std::string &path,
               const std::string &fields = {},
               CallerReply *whole = nullptr)
    {
        FakeCaller caller(gateway);
        caller.send(this->request("POST", path, fields + "Content-Length: 0\r\n"));
        waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
        if (whole != nullptr) {
            *whole = caller.reply;
        }
        return caller.reply.status;
    }

    std::size_t crashes = 0;
};

} // namespace Sequoiausher
