#pragma once

#include <unistd.h>

#include <utility>

namespace sagechute::net {

/// Owns a file descriptor.
class FileDescriptor {
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int fd)
        : m_fd(fd)
    {
    }
    FileDescriptor(FileDescriptor&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    FileDescriptor& operator=(FileDescriptor&& other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    ~FileDescriptor()
    {
        if (m_fd >= 0)
            close(m_fd);
    }

    int value() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }

    /// Gives the descriptor away.
    int release() { return std::exchange(m_fd, -1); }

private:
    int m_fd = -1;
};

} // namespace sagechute::net
