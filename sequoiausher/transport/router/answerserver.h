#pragma once

// Sends the answers that this router runs or stores to other routers whose retries have attached to them.
//
//     AnswerServer server(answers, send);
//     server.attach(from, request);     // AttachReply, AttachChunk..., AttachEnd go to from

#include "sequoiausher/coordination/messages/peermessage.h"
#include "sequoiausher/state/answers/answertable.h"

#include <functional>
#include <memory>

namespace Sequoiausher {

/** Belongs to the thread that created it; attach, cancel and peerLost may be called from any thread. */
class AnswerServer
{
public:
    using Send = std::function<void(const InstanceId &to, PeerMessage message)>;

    /** @param answers outlives this. @param send is called on the server's thread. */
    AnswerServer(AnswerTable &answers, Send send);
    ~AnswerServer();

    void attach(const InstanceId &from, const AttachRequest &request);
    void cancel(const InstanceId &from, const AttachCancel &cancel);
    /** Nothing more can be sent to peer. */
    void peerLost(const InstanceId &peer);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
