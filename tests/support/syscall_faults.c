/*
 * LD_PRELOAD library for tests: makes system calls of one process fail in the ways that Linux documents.
 *
 * The test and the process share a rule table: both map the file named by SEDGEPITCH_SYSCALL_FAULTS. A rule
 * has a call, a kind of descriptor, the number of matching calls that pass first, and the number to fault
 * after them. A faulted call fails with the errno of the rule without reaching the kernel; if the rule has a
 * byte limit instead, the call is made with its buffer cut to that many bytes.
 *
 * The library works below the interpreter and the event loop, whose calls go through the C library.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

/* Keep order and sizes in step with syscall_faults.py. */
enum call {
    CALL_ACCEPT,
    CALL_SOCKET,
    CALL_CONNECT,
    CALL_READ,
    CALL_WRITE,
    CALL_SETSOCKOPT,
    CALL_GETSOCKOPT,
    CALL_EPOLL_CTL,
    CALL_IOCTL,
    CALL_SHUTDOWN,
    CALL_POLL,
    CALL_BIND,
    CALL_LISTEN,
    CALL_COUNT
};
enum kind { KIND_ANY, KIND_LISTENER, KIND_ACCEPTED, KIND_OPENED };

#define RULES 16
#define DESCRIPTORS 4096

struct rule {
    int32_t active;
    int32_t call;
    int32_t kind;
    int32_t error;      /* errno, or 0 if byte_limit is used */
    int32_t byte_limit; /* for reads and writes, bytes */
    int32_t spare;      /* matching calls that pass first */
    int32_t remaining;  /* calls still to be faulted */
    int32_t hits;       /* calls faulted so far */
};

static struct rule *rules;
static unsigned char kinds[DESCRIPTORS];

__attribute__((constructor)) static void map_rules(void)
{
    const char *path = getenv("SEDGEPITCH_SYSCALL_FAULTS");
    if (path == NULL)
        return;
    int descriptor = open(path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0)
        return;
    void *mapped = mmap(NULL, RULES * sizeof(struct rule), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (mapped != MAP_FAILED)
        rules = mapped;
}

static void remember(int descriptor, enum kind kind)
{
    if (descriptor >= 0 && descriptor < DESCRIPTORS)
        kinds[descriptor] = kind;
}

/* Returns the first rule that faults this call, or NULL, and updates its counters. */
static struct rule *fault(enum call call, int descriptor)
{
    if (rules == NULL)
        return NULL;
    enum kind kind = descriptor >= 0 && descriptor < DESCRIPTORS ? kinds[descriptor] : KIND_ANY;
    for (int i = 0; i < RULES; i++) {
        struct rule *rule = &rules[i];
        if (!rule->active || rule->call != (int32_t)call)
            continue;
        if (rule->kind != KIND_ANY && rule->kind != (int32_t)kind)
            continue;
        if (rule->remaining <= 0)
            continue;
        if (rule->spare > 0) {
            rule->spare--;
            continue;
        }
        rule->remaining--;
        rule->hits++;
        return rule;
    }
    return NULL;
}

static int failed(const struct rule *rule)
{
    errno = rule->error;
    return -1;
}

static size_t cut(const struct rule *rule, size_t length)
{
    if (rule == NULL || rule->byte_limit <= 0 || (size_t)rule->byte_limit >= length)
        return length;
    return (size_t)rule->byte_limit;
}

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept4(int descriptor, struct sockaddr *address, socklen_t *size, int flags)
{
    struct rule *rule = fault(CALL_ACCEPT, descriptor);
    if (rule != NULL)
        return failed(rule);
    int accepted = NEXT(accept4)(descriptor, address, size, flags);
    remember(accepted, KIND_ACCEPTED);
    return accepted;
}

int accept(int descriptor, struct sockaddr *address, socklen_t *size)
{
    struct rule *rule = fault(CALL_ACCEPT, descriptor);
    if (rule != NULL)
        return failed(rule);
    int accepted = NEXT(accept)(descriptor, address, size);
    remember(accepted, KIND_ACCEPTED);
    return accepted;
}

int socket(int domain, int type, int protocol)
{
    struct rule *rule = fault(CALL_SOCKET, -1);
    if (rule != NULL)
        return failed(rule);
    int made = NEXT(socket)(domain, type, protocol);
    remember(made, KIND_ANY);
    return made;
}

int bind(int descriptor, const struct sockaddr *address, socklen_t size)
{
    struct rule *rule = fault(CALL_BIND, descriptor);
    return rule != NULL ? failed(rule) : NEXT(bind)(descriptor, address, size);
}

int listen(int descriptor, int backlog)
{
    remember(descriptor, KIND_LISTENER);
    struct rule *rule = fault(CALL_LISTEN, descriptor);
    if (rule != NULL)
        return failed(rule);
    return NEXT(listen)(descriptor, backlog);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size)
{
    remember(descriptor, KIND_OPENED);
    struct rule *rule = fault(CALL_CONNECT, descriptor);
    if (rule != NULL)
        return failed(rule);
    return NEXT(connect)(descriptor, address, size);
}

ssize_t recv(int descriptor, void *buffer, size_t length, int flags)
{
    struct rule *rule = flags & MSG_PEEK ? NULL : fault(CALL_READ, descriptor);
    if (rule != NULL && rule->error)
        return failed(rule);
    return NEXT(recv)(descriptor, buffer, cut(rule, length), flags);
}

ssize_t recvmsg(int descriptor, struct msghdr *message, int flags)
{
    struct rule *rule = fault(CALL_READ, descriptor);
    if (rule != NULL && rule->error)
        return failed(rule);
    if (rule == NULL || message->msg_iovlen != 1)
        return NEXT(recvmsg)(descriptor, message, flags);
    size_t whole = message->msg_iov[0].iov_len;
    message->msg_iov[0].iov_len = cut(rule, whole);
    ssize_t got = NEXT(recvmsg)(descriptor, message, flags);
    message->msg_iov[0].iov_len = whole;
    return got;
}

ssize_t send(int descriptor, const void *buffer, size_t length, int flags)
{
    struct rule *rule = fault(CALL_WRITE, descriptor);
    if (rule != NULL && rule->error)
        return failed(rule);
    return NEXT(send)(descriptor, buffer, cut(rule, length), flags);
}

int setsockopt(int descriptor, int level, int name, const void *value, socklen_t size)
{
    struct rule *rule = fault(CALL_SETSOCKOPT, descriptor);
    return rule != NULL ? failed(rule) : NEXT(setsockopt)(descriptor, level, name, value, size);
}

int getsockopt(int descriptor, int level, int name, void *value, socklen_t *size)
{
    struct rule *rule = fault(CALL_GETSOCKOPT, descriptor);
    return rule != NULL ? failed(rule) : NEXT(getsockopt)(descriptor, level, name, value, size);
}

int epoll_ctl(int poller, int operation, int descriptor, struct epoll_event *event)
{
    struct rule *rule = operation == EPOLL_CTL_ADD ? fault(CALL_EPOLL_CTL, descriptor) : NULL;
    return rule != NULL ? failed(rule) : NEXT(epoll_ctl)(poller, operation, descriptor, event);
}

int ioctl(int descriptor, unsigned long request, ...)
{
    va_list arguments;
    va_start(arguments, request);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    struct rule *rule = fault(CALL_IOCTL, descriptor);
    if (rule != NULL)
        return failed(rule);
    return ((int (*)(int, unsigned long, ...))dlsym(RTLD_NEXT, "ioctl"))(descriptor, request, argument);
}

int shutdown(int descriptor, int how)
{
    struct rule *rule = fault(CALL_SHUTDOWN, descriptor);
    return rule != NULL ? failed(rule) : NEXT(shutdown)(descriptor, how);
}

int poll(struct pollfd *watched, nfds_t count, int timeout)
{
    struct rule *rule = count == 1 ? fault(CALL_POLL, -1) : NULL;
    return rule != NULL ? failed(rule) : NEXT(poll)(watched, count, timeout);
}
