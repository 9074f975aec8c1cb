#pragma once

// `sequoiausher watch`: what `status` shows, again and again, until Ctrl-C.
//
//     sequoiausher watch --router 127.0.0.1:7401

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Ends with Ok after Ctrl-C, or with the last view's status after --count views. */
class WatchCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
