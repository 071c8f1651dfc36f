/*
    Rig of the review's cases: a small deployment on loopback addresses and the real clock. The machines are processes of
    target/chalkway-edge with the settings that deploy/system.toml and platform/settings.ini.tmpl give them. The
    platform's store, the servers and the clients are stand-ins: threads of the case's own process that speak what
    PROTOCOL.md says. Each machine and server has an address of its own in 127.0.0.0/8.
*/
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H
#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define RIG_HOSTS_MAX 12
#define RIG_SERVERS_MAX 16
#define RIG_HEAD_MAX 8192
#define RIG_KEY "n2ctnfzs989anu6wsjnb"

enum { PORT_FRONT = 8227, PORT_READY = 8220, PORT_LOOKUP = 8224, PORT_METRICS = 9109, PORT_PEER = 7340, PORT_LOAD = 7341, PORT_STORE = 8223 };

static int64_t rig_start_ms;
static FILE* rig_record;
static pthread_mutex_t rig_record_lock = PTHREAD_MUTEX_INITIALIZER;
static char rig_dir[64];
static int rig_net; /* second number of all addresses: 127.NET.x.y */

static inline int64_t rig_now_ms(void) {
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static inline void rig_sleep_ms(int64_t ms) {
    struct timespec t = {.tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1000000};
    while (ms > 0 && nanosleep(&t, &t) != 0 && errno == EINTR) {
    }
}

static inline void rig_sleep_until(int64_t at_ms) {
    rig_sleep_ms(at_ms - rig_now_ms());
}

/* Writes one line to record.txt, with the time in ms since the start of traffic. */
static void rig_note(const char* fmt, ...) {
    char text[700];
    va_list args;
    va_start(args, fmt);
    vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    pthread_mutex_lock(&rig_record_lock);
    fprintf(rig_record, "%7lld %s\n", (long long)(rig_start_ms ? rig_now_ms() - rig_start_ms : 0), text);
    fflush(rig_record);
    pthread_mutex_unlock(&rig_record_lock);
}

static void rig_kill_hosts(void);

/* The case can't run. */
static void rig_fail(const char* why) {
    fprintf(stderr, "cannot run: %s (%s)\n", why, strerror(errno));
    rig_note("cannot run: %s", why);
    rig_kill_hosts();
    _exit(2);
}

/* -- sockets -------------------------------------------------------------- */

static struct sockaddr_in rig_address(int group, int number, int port) {
    char text[32];
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    snprintf(text, sizeof(text), "127.%d.%d.%d", rig_net, group, number);
    inet_pton(AF_INET, text, &a.sin_addr);
    return a;
}

static int rig_listen(struct sockaddr_in a) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (bind(fd, (struct sockaddr*)&a, sizeof(a)) != 0 || listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* receive_bytes 0: the system's default. Segments are those of Ethernet: with the 64 kB of the loopback device the kernel
   of the sending side would hold megabytes. Returns -1 if no connection came up within a second. */
static int rig_connect(struct sockaddr_in a, int receive_bytes) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int yes = 1;
    int segment_bytes = 1460;
    struct timeval limit = {.tv_sec = 1};
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
    if (receive_bytes) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    }
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    if (connect(fd, (struct sockaddr*)&a, sizeof(a)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool rig_send_all(int fd, const void* data, size_t size) {
    const char* at = data;
    while (size) {
        ssize_t n = send(fd, at, size, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        at += n;
        size -= (size_t)n;
    }
    return true;
}

static void rig_thread(void* (*run)(void*), void* arg) {
    pthread_t t;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, 512 * 1024);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&t, &attr, run, arg) != 0) {
        rig_fail("no thread");
    }
}

/* -- HTTP ----------------------------------------------------------------- */

/* A connection with what was read from it and not used yet. */
typedef struct rig_conn_t {
    int fd;
    char data[RIG_HEAD_MAX];
    size_t size;
} rig_conn_t;

/* Reads a head, up to its empty line. Returns its length, 0 at the end of the connection or on an error. */
static size_t rig_read_head(rig_conn_t* c) {
    while (true) {
        c->data[c->size] = 0;
        char* end = strstr(c->data, "\r\n\r\n");
        if (end) {
            return (size_t)(end - c->data) + 4;
        }
        if (c->size >= sizeof(c->data) - 1) {
            return 0;
        }
        ssize_t n = recv(c->fd, c->data + c->size, sizeof(c->data) - 1 - c->size, 0);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return 0;
        }
        c->size += (size_t)n;
    }
}

static void rig_consume(rig_conn_t* c, size_t size) {
    memmove(c->data, c->data + size, c->size - size);
    c->size -= size;
}

/* Value of a field of the head, "" if it has none. */
static const char* rig_field(const char* head, const char* name, char* out, size_t size) {
    size_t length = strlen(name);
    out[0] = 0;
    for (const char* line = strstr(head, "\r\n"); line; line = strstr(line, "\r\n")) {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char* value = line + length + 1;
            value += strspn(value, " ");
            size_t n = strcspn(value, "\r\n");
            n = n < size - 1 ? n : size - 1;
            memcpy(out, value, n);
            out[n] = 0;
            return out;
        }
    }
    return out;
}

/* Reads the body that follows a head with Content-Length. */
static bool rig_skip_body(rig_conn_t* c, size_t size) {
    while (size) {
        size_t here = c->size < size ? c->size : size;
        rig_consume(c, here);
        size -= here;
        ssize_t n = size ? recv(c->fd, c->data, sizeof(c->data) - 1, 0) : 1;
        if (n <= 0) {
            return false;
        }
        c->size = size ? (size_t)n : c->size;
    }
    return true;
}

/* -- the platform's store ------------------------------------------------- */

typedef struct rig_entry_t {
    char id[32];
    char service[32];
    char address[32];
    char zone[16];
    char version[16];
    char state[16];
    int slots;
    int64_t born;
    int64_t seq, revision, made;
    int64_t cold_until_ms; /* 0: not cold */
    bool is_listed;
} rig_entry_t;

static pthread_mutex_t rig_store_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t rig_revision = 1000;
static char* rig_config;
static int64_t rig_config_revision;
static rig_entry_t rig_entries[RIG_SERVERS_MAX];
static int rig_entry_count;
static int rig_era;              /* Store-Era in all answers; 0: the store has none */
static volatile bool rig_is_away; /* the store answers 503 */

static void rig_base64(const char* text, char* out) {
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    for (size_t i = 0; i < size; i += 3) {
        uint32_t v = (uint32_t)(unsigned char)text[i] << 16;
        v |= i + 1 < size ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        v |= i + 2 < size ? (uint32_t)(unsigned char)text[i + 2] : 0;
        *out++ = digits[v >> 18];
        *out++ = digits[v >> 12 & 63];
        *out++ = i + 1 < size ? digits[v >> 6 & 63] : '=';
        *out++ = i + 2 < size ? digits[v & 63] : '=';
    }
    *out = 0;
}

static int rig_item(char* out, size_t size, const char* key, const char* value, int64_t revision, int64_t made) {
    char* text = malloc(strlen(value) * 2 + 8);
    rig_base64(value, text);
    int n = snprintf(out, size, "{\"tls_key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,\"made\":%lld,\"lease\":0}", key, text,
                     (long long)revision, (long long)made);
    free(text);
    return n;
}

static void rig_entry_value(const rig_entry_t* e, char* out, size_t size) {
    int64_t cold_ms = e->cold_until_ms - rig_now_ms();
    snprintf(out, size,
             "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
             "\"cold_remaining_ms\":%lld,\"seq\":%lld,\"born\":%lld}",
             e->service, e->address, e->zone, e->version, e->slots, e->state, (long long)(cold_ms > 0 ? cold_ms : 0),
             (long long)e->seq, (long long)e->born);
}

#define RIG_STORE_BODY (1 << 20)

static unsigned rig_store_answer(const char* target, char* body) {
    unsigned status = 200;
    body[0] = 0;
    pthread_mutex_lock(&rig_store_lock);
    if (strncmp(target, "/kv-key?", 8) == 0 && strstr(target, "tls_key=op/config") && rig_config) {
        int n = rig_item(body, RIG_STORE_BODY, "op/config", rig_config, rig_config_revision, 1);
        snprintf(body + n - 1, 64, ",\"at\":%lld}", (long long)rig_revision);
    } else if (strncmp(target, "/kv-range?", 10) == 0) {
        int n = snprintf(body, RIG_STORE_BODY, "{\"at\":%lld,\"more\":false,\"items\":[", (long long)rig_revision);
        bool is_first = true;
        for (int i = 0; i < rig_entry_count && strstr(target, "path_prefix=servers/"); i++) {
            const rig_entry_t* e = &rig_entries[i];
            char key[96];
            char value[600];
            if (!e->is_listed) {
                continue;
            }
            snprintf(key, sizeof(key), "servers/%.40s", e->id);
            rig_entry_value(e, value, sizeof(value));
            n += snprintf(body + n, 4, "%s", is_first ? "" : ",");
            n += rig_item(body + n, RIG_STORE_BODY - (size_t)n, key, value, e->revision, e->made);
            is_first = false;
        }
        snprintf(body + n, 8, "]}");
    } else if (strncmp(target, "/kv-watch?", 10) == 0) {
        status = 410; /* the store has forgotten its history */
        snprintf(body, 8, "{}");
    } else {
        status = 404;
        snprintf(body, 8, "{}");
    }
    pthread_mutex_unlock(&rig_store_lock);
    return status;
}

static void* rig_store_conn(void* arg) {
    rig_conn_t* c = calloc(1, sizeof(*c));
    char* body = malloc(RIG_STORE_BODY + 128);
    c->fd = (int)(intptr_t)arg;
    for (size_t head; (head = rig_read_head(c)) > 0;) {
        char target[512] = "";
        char out[256];
        sscanf(c->data, "%*s %511s", target);
        rig_consume(c, head);
        char era[40] = "";
        unsigned status = rig_store_answer(target, body);
        rig_sleep_ms(4);
        if (rig_is_away) {
            status = 503;
            snprintf(body, 8, "{}");
        }
        if (rig_era) {
            snprintf(era, sizeof(era), "Store-Era: %d\r\n", rig_era);
        }
        int n = snprintf(out, sizeof(out), "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n%sContent-Length: %zu\r\n\r\n",
                         status, status == 200 ? "OK" : "No", era, strlen(body));
        if (!rig_send_all(c->fd, out, (size_t)n) || !rig_send_all(c->fd, body, strlen(body))) {
            break;
        }
    }
    close(c->fd);
    free(body);
    free(c);
    return NULL;
}

typedef struct rig_listener_t {
    int fd;
    void* (*run)(void* fd); /* on a thread of its own for each connection, with its descriptor */
} rig_listener_t;

static void* rig_accept_loop(void* arg) {
    rig_listener_t l = *(rig_listener_t*)arg;
    free(arg);
    while (true) {
        int conn = accept4(l.fd, NULL, NULL, SOCK_CLOEXEC);
        if (conn >= 0) {
            rig_thread(l.run, (void*)(intptr_t)conn);
        } else if (errno != EINTR && errno != ECONNABORTED) {
            return NULL;
        }
    }
}

static void rig_accept(int fd, void* (*run)(void*)) {
    rig_listener_t* l = malloc(sizeof(*l));
    *l = (rig_listener_t){.fd = fd, .run = run};
    rig_thread(rig_accept_loop, l);
}

/* Each server writes its entry about every 1,200 ms. */
static void* rig_heartbeats(void* arg) {
    (void)arg;
    while (true) {
        rig_sleep_ms(1200);
        pthread_mutex_lock(&rig_store_lock);
        for (int i = 0; i < rig_entry_count; i++) {
            if (rig_entries[i].is_listed) {
                rig_entries[i].seq++;
                rig_entries[i].revision = ++rig_revision;
            }
        }
        pthread_mutex_unlock(&rig_store_lock);
    }
    return NULL;
}

static void rig_start_store(const char* config) {
    int fd = rig_listen(rig_address(200, 1, PORT_STORE));
    if (fd < 0) {
        rig_fail("the store's address is in use");
    }
    rig_config = strdup(config);
    rig_config_revision = ++rig_revision;
    rig_accept(fd, rig_store_conn);
    rig_thread(rig_heartbeats, NULL);
}

/* Writes a configuration; the return of this function is the acknowledgement. */
static void rig_set_config(const char* config) {
    pthread_mutex_lock(&rig_store_lock);
    free(rig_config);
    rig_config = strdup(config);
    rig_config_revision = ++rig_revision;
    pthread_mutex_unlock(&rig_store_lock);
}

/* Writes the entry of a server; the return of this function is the acknowledgement. */
static rig_entry_t* rig_list_server(const char* id, const char* service, const char* zone, const char* version, int slots,
                                    struct sockaddr_in address) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    pthread_mutex_lock(&rig_store_lock);
    rig_entry_t* e = &rig_entries[rig_entry_count++];
    *e = (rig_entry_t){.slots = slots, .is_listed = true, .seq = 1};
    snprintf(e->id, sizeof(e->id), "%.31s", id);
    snprintf(e->service, sizeof(e->service), "%s", service);
    snprintf(e->zone, sizeof(e->zone), "%s", zone);
    snprintf(e->version, sizeof(e->version), "%s", version);
    snprintf(e->state, sizeof(e->state), "ready");
    char ip[24];
    inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip));
    snprintf(e->address, sizeof(e->address), "%s:%d", ip, ntohs(address.sin_port));
    e->born = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    e->revision = e->made = ++rig_revision;
    pthread_mutex_unlock(&rig_store_lock);
    return e;
}

static void rig_set_state(rig_entry_t* e, const char* state) {
    pthread_mutex_lock(&rig_store_lock);
    snprintf(e->state, sizeof(e->state), "%s", state);
    e->revision = ++rig_revision;
    pthread_mutex_unlock(&rig_store_lock);
}

static void rig_unlist_server(rig_entry_t* e) {
    pthread_mutex_lock(&rig_store_lock);
    e->is_listed = false;
    ++rig_revision;
    pthread_mutex_unlock(&rig_store_lock);
}

/* -- machines ------------------------------------------------------------- */

typedef struct rig_host_t {
    pid_t pid; /* 0: not running */
    int number;
    char zone[16];
    char settings[96], log[96];
    bool has_started;
} rig_host_t;

static int rig_first_seed; /* the settings name this machine and the next two */
static rig_host_t rig_hosts[RIG_HOSTS_MAX];
static int rig_host_count;

static struct sockaddr_in rig_host_address(int host, int port) {
    return rig_address(1, rig_hosts[host].number, port);
}

/* platform/settings.ini.tmpl, filled with the bounds of a small deployment. */
static void rig_write_settings(const rig_host_t* h) {
    FILE* f = fopen(h->settings, "w");
    if (!f) {
        rig_fail("the settings file can't be written");
    }
    fprintf(f, "[host]\nname = edge-%s-%d\nhall = %s\ncluster = edge\n", h->zone, h->number, h->zone);
    if (!h->has_started) {
        fprintf(f, "first_start = 1\n");
    }
    char ip[24];
    snprintf(ip, sizeof(ip), "127.%d.1.%d", rig_net, h->number);
    fprintf(f, "[listen]\ncallers = %s:%d\nready = %s:%d\nlookup = %s:%d\nmetrics = %s:%d\npeer = %s:%d\nload = %s:%d\n"
               "share = %s:%d\n", ip, PORT_FRONT, ip, PORT_READY, ip, PORT_LOOKUP, ip, PORT_METRICS, ip, PORT_PEER, ip,
            PORT_LOAD, ip, PORT_LOAD);
    fprintf(f, "[peers]\nseeds = ");
    for (int i = rig_first_seed; i < rig_host_count && i < rig_first_seed + 3; i++) {
        fprintf(f, "%s127.%d.1.%d:8229", i > rig_first_seed ? "," : "", rig_net, rig_hosts[i].number);
    }
    fprintf(f, "\nseed_port = %d\n[source]\naddress = 127.%d.200.1:%d\napply = 2000ms\ndrain = 2000ms\n", PORT_PEER, rig_net,
            PORT_STORE);
    fprintf(f, "[limits]\nmemory = 260m\ndescriptors = 4100\nlink = 1000.0\n[service]\ngrace = 8s\nretry_window = 10s\n"
               "retry_ratio = 0.2\nretry_slack = 58\n");
    fclose(f);
}

static void rig_start_host(int host) {
    rig_host_t* h = &rig_hosts[host];
    rig_write_settings(h);
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid < 0) {
        rig_fail("no process");
    }
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        int out = open(h->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, 1);
        dup2(out, 2);
        setenv("CHALKWAY_NODE_FILE", h->settings, 1);
        execl("target/chalkway-edge", "target/chalkway-edge", (char*)NULL);
        _exit(127);
    }
    h->pid = pid;
    h->has_started = true;
}

static void rig_add_hosts(int count, const char* const* zones) {
    rig_host_count = count;
    for (int i = 0; i < count; i++) {
        rig_host_t* h = &rig_hosts[i];
        h->number = 10 + i;
        snprintf(h->zone, sizeof(h->zone), "%s", zones[i]);
        snprintf(h->settings, sizeof(h->settings), "%s/host%d.ini", rig_dir, i);
        snprintf(h->log, sizeof(h->log), "%s/host%d.log", rig_dir, i);
    }
    for (int i = 0; i < count; i++) {
        rig_start_host(i);
    }
}

/* Whether the process has ended by now. */
static bool rig_has_ended(int host, int* status) {
    return rig_hosts[host].pid && waitpid(rig_hosts[host].pid, status, WNOHANG) == rig_hosts[host].pid;
}

static void rig_kill_hosts(void) {
    for (int i = 0; i < rig_host_count; i++) {
        if (rig_hosts[i].pid > 0) {
            kill(rig_hosts[i].pid, SIGKILL);
            waitpid(rig_hosts[i].pid, NULL, 0);
            rig_hosts[i].pid = 0;
        }
    }
}

static bool rig_is_ready(int host) {
    static const char request[] = "GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    rig_conn_t c = {.fd = rig_connect(rig_host_address(host, PORT_READY), 0)};
    if (c.fd < 0) {
        return false;
    }
    bool is_ready = rig_send_all(c.fd, request, sizeof(request) - 1) && rig_read_head(&c) && strstr(c.data, " 200 ");
    close(c.fd);
    return is_ready;
}

static void rig_wait_ready(void) {
    int64_t end_ms = rig_now_ms() + 10000;
    for (int i = 0; i < rig_host_count; i++) {
        while (rig_hosts[i].pid && !rig_is_ready(i)) {
            if (rig_now_ms() > end_ms) {
                rig_fail("a machine is not ready");
            }
            rig_sleep_ms(50);
        }
    }
}

/* Whether the case plays its disruption: not with TROUBLE=0. */
static bool rig_has_trouble(void) {
    const char* trouble = getenv("TROUBLE");
    return !trouble || strcmp(trouble, "0") != 0;
}

static void rig_setup(const char* record) {
    signal(SIGPIPE, SIG_IGN);
    rig_record = fopen(record, "w");
    if (!rig_record) {
        fprintf(stderr, "cannot write %s\n", record);
        _exit(2);
    }
    snprintf(rig_dir, sizeof(rig_dir), "/tmp/review-XXXXXX");
    if (!mkdtemp(rig_dir)) {
        rig_fail("no temporary folder");
    }
    /* A part of 127.0.0.0/8 in which nobody listens. */
    for (int i = 0; i < 200; i++) {
        rig_net = 20 + (int)((getpid() + i) % 200);
        int fd = rig_listen(rig_address(200, 1, PORT_STORE));
        int front = rig_listen(rig_address(1, 10, PORT_FRONT));
        bool is_free = fd >= 0 && front >= 0;
        if (fd >= 0) {
            close(fd);
        }
        if (front >= 0) {
            close(front);
        }
        if (is_free) {
            return;
        }
    }
    rig_fail("no free addresses");
}

/* Ends the machines and leaves with the verdict. The logs are kept if KEEP is set. */
static void rig_finish(int verdict) {
    rig_kill_hosts();
    if (!getenv("KEEP")) {
        for (int i = 0; i < rig_host_count; i++) {
            unlink(rig_hosts[i].settings);
            unlink(rig_hosts[i].log);
        }
        rmdir(rig_dir);
    } else {
        fprintf(stderr, "logs in %s\n", rig_dir);
    }
    fflush(stdout);
    fclose(rig_record);
    _exit(verdict);
}

#endif
