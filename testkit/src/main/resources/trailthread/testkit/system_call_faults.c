// A preloaded library (LD_PRELOAD) that makes system calls of a process fail as a script tells. The script is an array of
// numbers in a file that the process maps; see SystemCallFaults.java, which writes it and has the same layout.
// Only sockets and non-blocking pipes are affected.
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, READ, WRITE, WAIT, CALLS };

// What is done instead of a call, beside the numbers of errors.
enum { SHORT_TRANSFER = -1, NEXT_OF_THE_CALL = 0 };

struct fault {
    int32_t fail_next;    // this many of the next calls
    int32_t per_thousand; // of the other calls
    int32_t outcome;      // an error's number, or one of the values above
    int32_t injected;     // calls changed so far
};

struct script {
    uint32_t random_state;
    struct fault faults[CALLS];
};

static struct script *script;

__attribute__((constructor)) static void map_script(void) {
    const char *path = getenv("SYSTEM_CALL_FAULTS");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct script), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    script = mapped == MAP_FAILED ? NULL : mapped;
}

static uint32_t next_random(void) {
    uint32_t x = __atomic_load_n(&script->random_state, __ATOMIC_RELAXED);
    x ^= x << 13;
    x ^= x >> 17;
    x ^= x << 5;
    __atomic_store_n(&script->random_state, x, __ATOMIC_RELAXED);
    return x;
}

static int is_chosen(struct fault *fault) {
    if (__atomic_load_n(&fault->fail_next, __ATOMIC_RELAXED) > 0) {
        return __atomic_fetch_sub(&fault->fail_next, 1, __ATOMIC_RELAXED) > 0;
    }
    int32_t per_thousand = __atomic_load_n(&fault->per_thousand, __ATOMIC_RELAXED);
    return per_thousand > 0 && (int32_t)(next_random() % 1000) < per_thousand;
}

static int is_affected(int fd) {
    struct stat status;
    if (fstat(fd, &status) != 0) {
        return 0;
    }
    return S_ISSOCK(status.st_mode) || (S_ISFIFO(status.st_mode) && (fcntl(fd, F_GETFL) & O_NONBLOCK));
}

static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS};
static const int SOCKET_ERRORS[] = {ENFILE, EMFILE, ENOBUFS};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH};

static int error_of(enum call call, int32_t number) {
    switch (call) {
    case ACCEPT:
        return ACCEPT_ERRORS[number % 4];
    case SOCKET:
        return SOCKET_ERRORS[number % 3];
    case CONNECT:
        return CONNECT_ERRORS[number % 4];
    default:
        return EINTR;
    }
}

// Returns 0 if the call is to be made, SHORT_TRANSFER, or the number of the error with which it fails.
static int fault_for(enum call call) {
    if (!script || !is_chosen(&script->faults[call])) {
        return 0;
    }
    struct fault *fault = &script->faults[call];
    int32_t number = __atomic_fetch_add(&fault->injected, 1, __ATOMIC_RELAXED);
    return fault->outcome == NEXT_OF_THE_CALL ? error_of(call, number) : fault->outcome;
}

#define REAL(type, name, ...)                     \
    static type (*real)(__VA_ARGS__);             \
    if (!real) {                                  \
        real = dlsym(RTLD_NEXT, #name);           \
    }

#define FAIL_IF_CHOSEN(call)                      \
    int fault = fault_for(call);                  \
    if (fault > 0) {                              \
        errno = fault;                            \
        return -1;                                \
    }

static size_t short_length(size_t length) {
    return length > 1 ? 1 + next_random() % (length < 40 ? length : 40) : length;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(int, accept, int, struct sockaddr *, socklen_t *)
    FAIL_IF_CHOSEN(ACCEPT)
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(int, socket, int, int, int)
    FAIL_IF_CHOSEN(SOCKET)
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, connect, int, const struct sockaddr *, socklen_t)
    FAIL_IF_CHOSEN(CONNECT)
    return real(fd, address, length);
}

ssize_t read(int fd, void *bytes, size_t length) {
    REAL(ssize_t, read, int, void *, size_t)
    if (!script || !is_affected(fd)) {
        return real(fd, bytes, length);
    }
    FAIL_IF_CHOSEN(READ)
    return real(fd, bytes, fault == SHORT_TRANSFER ? short_length(length) : length);
}

ssize_t readv(int fd, const struct iovec *pieces, int count) {
    REAL(ssize_t, readv, int, const struct iovec *, int)
    if (!script || !is_affected(fd)) {
        return real(fd, pieces, count);
    }
    FAIL_IF_CHOSEN(READ)
    return real(fd, pieces, fault == SHORT_TRANSFER ? 1 : count);
}

ssize_t write(int fd, const void *bytes, size_t length) {
    REAL(ssize_t, write, int, const void *, size_t)
    if (!script || !is_affected(fd)) {
        return real(fd, bytes, length);
    }
    FAIL_IF_CHOSEN(WRITE)
    return real(fd, bytes, fault == SHORT_TRANSFER ? short_length(length) : length);
}

ssize_t writev(int fd, const struct iovec *pieces, int count) {
    REAL(ssize_t, writev, int, const struct iovec *, int)
    if (!script || !is_affected(fd)) {
        return real(fd, pieces, count);
    }
    FAIL_IF_CHOSEN(WRITE)
    if (fault == SHORT_TRANSFER && pieces[0].iov_len > 0) {
        struct iovec first = {pieces[0].iov_base, short_length(pieces[0].iov_len)};
        return real(fd, &first, 1);
    }
    return real(fd, pieces, count);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    REAL(int, epoll_wait, int, struct epoll_event *, int, int)
    FAIL_IF_CHOSEN(WAIT)
    return real(fd, events, count, timeout);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    REAL(int, poll, struct pollfd *, nfds_t, int)
    FAIL_IF_CHOSEN(WAIT)
    return real(fds, count, timeout);
}
