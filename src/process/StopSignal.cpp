#include <sagechute/Process.h>

#include <poll.h>
#include <pthread.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace sagechute::process {
namespace {

    sigset_t stopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

    sigset_t reloadSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGHUP);
        return signals;
    }

    timespec toTimespec(Duration duration)
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
        const std::chrono::nanoseconds rest = duration - seconds;
        return { static_cast<time_t>(seconds.count()), static_cast<long>(rest.count()) };
    }

} // namespace

StopSignal::StopSignal()
{
    // A caller that closes its connection while an answer is written to it would otherwise end the process by SIGPIPE:
    // it would be seen as a daemon that vanishes without a last log line.
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    m_descriptor = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    const sigset_t reload = reloadSignals();
    pthread_sigmask(SIG_BLOCK, &reload, nullptr);
    m_reloadDescriptor = signalfd(-1, &reload, SFD_CLOEXEC | SFD_NONBLOCK);
    if (m_descriptor < 0 || m_reloadDescriptor < 0)
        throw std::system_error(errno, std::generic_category(), "signalfd");
}

StopSignal::~StopSignal()
{
    close(m_descriptor);
    close(m_reloadDescriptor);
}

bool StopSignal::takeReload()
{
    signalfd_siginfo info {};
    bool isAsked = false;
    while (read(m_reloadDescriptor, &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info)))
        isAsked = true;
    return isAsked;
}

bool StopSignal::wait(Duration most)
{
    const TimePoint end = steadyNow() + most;
    for (;;) {
        const Duration left = std::max(Duration::zero(), end - steadyNow());
        const timespec timeout = toTimespec(left);
        pollfd descriptor { m_descriptor, POLLIN, 0 };
        // The signal is never read from the descriptor, so that every later call sees it too.
        if (ppoll(&descriptor, 1, &timeout, nullptr) > 0)
            return true;
        if (left == Duration::zero())
            return false;
    }
}

} // namespace sagechute::process
