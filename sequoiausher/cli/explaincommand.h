#pragma once

// `sequoiausher explain`: which rule decides for a request, why the earlier ones do not, and which target it gets. It
// works on a folder of documents, so that a change can be tried before it is published, or on what is in force at a
// router; with a router, targets are chosen by the present loads.
//
//     sequoiausher explain --documents etc/documents --organisation kentekenlab --model plate-model --chat 42

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Ends with Ok where a rule decides, Failed where none does, and BadInput where the documents have an error. */
class ExplainCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
