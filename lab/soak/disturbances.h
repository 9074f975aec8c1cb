#pragma once

// When the soak disturbed whom. Promises with a time bound hold only for gateways that have been in touch for a while.
//
//     Disturbances log(Millis{3000});
//     log.begin("gateway 2", now);
//     log.end("gateway 2", later);
//     log.isCalm("gateway 2", from, to);

#include "sequoiausher/base/millis.h"

#include <map>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** Spans of disturbance by subject, overlapping ones included. */
class Disturbances
{
public:
    /** @param contactWindow how long a subject must have been calm to count as in touch. */
    explicit Disturbances(Millis contactWindow);

    void begin(const std::string &subject, Millis at);
    /** Ends the earliest begun span of the subject that is still open. */
    void end(const std::string &subject, Millis at);
    /** No disturbance of the subject touches the time from one contact window before from up to to. */
    bool isCalm(const std::string &subject, Millis from, Millis to) const;
    /** The same without the contact window before. */
    bool isUntouched(const std::string &subject, Millis from, Millis to) const;

private:
    struct Span
    {
        Millis from;
        Millis to = Millis::never();
    };

    Millis contactWindow;
    std::map<std::string, std::vector<Span>> spans;
};

} // namespace Sequoiausher::Lab
