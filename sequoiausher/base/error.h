#pragma once

// The exception of the project, with the reason, the step in which the error occurred, and the peer.
//
//     throw Error(Step::Connect, "router r3 at 127.0.0.1:7103", "connection refused");
//     // what(): "connect router r3 at 127.0.0.1:7103: connection refused"

#include "sequoiausher/base/nametable.h"

#include <stdexcept>
#include <string>

namespace Sequoiausher {

/** The step in which an error occurred. */
enum class Step {
    Settings,
    Rules,
    Listen,
    Connect,
    Read,
    Write,
    Decode,
    Claim,
    Admission,
    Dispatch,
    Stream,
    Attach,
    Platform,
    Membership,
    Report,
};

template<>
inline constexpr auto nameTable<Step> = std::to_array<NameEntry<Step>>({
    {Step::Settings, "settings"},
    {Step::Rules, "rules"},
    {Step::Listen, "listen"},
    {Step::Connect, "connect"},
    {Step::Read, "read"},
    {Step::Write, "write"},
    {Step::Decode, "decode"},
    {Step::Claim, "claim"},
    {Step::Admission, "admission"},
    {Step::Dispatch, "dispatch"},
    {Step::Stream, "stream"},
    {Step::Attach, "attach"},
    {Step::Platform, "platform"},
    {Step::Membership, "membership"},
    {Step::Report, "report"},
});

/** An error with the step and the peer at which it occurred. */
class Error : public std::runtime_error
{
public:
    /** @param peer the peer or file concerned, as it is called in messages to operators. */
    Error(Step step, const std::string &peer, const std::string &reason)
        : std::runtime_error(std::string(nameOf(step)) + " " + peer + ": " + reason)
        , atStep(step)
        , atPeer(peer)
        , because(reason)
    {
    }

    Step step() const
    {
        return this->atStep;
    }
    const std::string &peer() const
    {
        return this->atPeer;
    }
    /** The reason, without step and peer. */
    const std::string &reason() const
    {
        return this->because;
    }

private:
    Step atStep;
    std::string atPeer;
    std::string because;
};

} // namespace Sequoiausher
