/*
    Stand-ins for the scripts of this review: the platform's store, servers, and clients, as threads of one program that
    starts the gateways as separate processes with the command of the deploy file. They follow the users' pages; what a
    case makes them do beyond a sound server, client or store stands in the case.

    Everything uses loopback addresses 127.A.B.x, chosen at random and checked to be free.
*/
#ifndef RIG_H
#define RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_HEADERS 64
#define RIG_GATEWAYS 9
#define RIG_SERVERS 32

typedef struct rig_conn_t {
    int fd;
    size_t begin, end;
    char data[16384];
} rig_conn_t;

typedef struct rig_request_t {
    char method[16], path[256];
    uint32_t header_count;
    struct {
        char name[64], value[512];
    } headers[RIG_HEADERS];
    size_t body_size;
} rig_request_t;

typedef struct rig_server_t rig_server_t;
struct rig_server_t {
    char service[32], id[32], version[16], ip[32], state[16];
    int port, listen_fd, slots, running;
    int64_t born; /* Unix ms of its start; 0: this deployment's servers write none */
    uint32_t generation, seq;
    bool is_stream, is_alive, is_withdrawn;
    int work_ms, gap_ms, events;
    /* Serves a request that has begun to run; NULL: as a sound server. False: the connection is not kept. */
    bool (*serve)(rig_server_t* s, rig_conn_t* c, const rig_request_t* r, const char* id);
    int fds[1024];
    int fd_count;
    pthread_mutex_t lock;
};

typedef struct rig_gateway_t {
    char name[32], ip[32], zone[8];
    pid_t pid;
    bool has_started;
} rig_gateway_t;

typedef struct rig_call_t {
    char id[32];          /* Attempt-Id, drawn by rig_call */
    char first[32];       /* Attempt-Id of the attempt that brought the stream's first event */
    int status;           /* 0: no answer */
    bool is_complete;     /* the answer came whole */
    const char* error;    /* why it did not */
    double sent_ms, ended_ms;
    int retry_after_ms;
    int last_event;       /* id of the last whole event; the caller sets it to resume after one */
    char* body;
    size_t size, capacity;
    bool closes;
} rig_call_t;

typedef struct rig_ask_t {
    const char* method; /* default POST */
    const char* path;
    const char* headers; /* further header lines, each with its end */
    size_t body_size;
    int deadline_ms;
    int gap_ms;   /* gives up after so long without a byte; 0: at the deadline only */
    int* kept_fd; /* connection that is kept across requests, -1: none yet; NULL: a new one */
} rig_ask_t;

extern rig_gateway_t rig_gateways[RIG_GATEWAYS];
extern uint32_t rig_gateway_count;
extern rig_server_t rig_servers[RIG_SERVERS];
extern uint32_t rig_server_count;
extern bool rig_trouble; /* TROUBLE is not 0 */

/* Reads TROUBLE, opens the record in the case's folder and chooses addresses. */
void rig_init(const char* folder, uint32_t gateways);
/* Ends all processes and returns the exit status: 1 broken, 0 held, 2 the case couldn't run. */
int rig_finish(int status);
void rig_fail(const char* why); /* couldn't run: ends with 2 */
double rig_now_ms(void);
void rig_sleep_ms(double ms);
void rig_record(const char* format, ...) __attribute__((format(printf, 1, 2)));
/* Also to standard output. */
void rig_report(const char* format, ...) __attribute__((format(printf, 1, 2)));
void rig_thread(void* (*run)(void*), void* arg);
#define RIG_NUMBERS 256
extern size_t rig_numbers[RIG_NUMBERS]; /* 0, 1, 2, ...: arguments of threads */
uint32_t rig_random(uint32_t below);

/* The store. */
void rig_store_start(int64_t era); /* era 0: without Store-Era */
void rig_store_put(const char* key, const char* value);
void rig_store_remove(const char* key);
void rig_store_set_busy(bool is_busy); /* every call gets 503, and nothing is written */
int64_t rig_store_revision(void);
void rig_store_copy(void);    /* takes a copy of the store */
void rig_store_restore(void); /* the store comes back from the copy, with the next era */
/* The operator's configuration: routes /s/ (streams that may be resumed) of llm, /o/ (non_idempotent) and /i/
   (idempotent) of app, the key key1 of tenant t1. */
void rig_config(int version);

/* Servers. */
rig_server_t* rig_server(const char* service, bool is_stream, int slots, const char* version, bool has_born);
void rig_server_start(rig_server_t* s);
void rig_server_write(rig_server_t* s); /* writes its entry, unless the store is busy */
void rig_server_crash(rig_server_t* s); /* its connections and its port close, as when a process is killed */
void rig_server_restart(rig_server_t* s, const char* version);
void rig_server_withdraw(rig_server_t* s); /* its entry goes, and it serves on */
bool rig_serve_soundly(rig_server_t* s, rig_conn_t* c, const rig_request_t* r, const char* id);
const char* rig_header(const rig_request_t* r, const char* name);
bool rig_write(int fd, const void* data, size_t size);

/* Gateways. */
void rig_gateway_start(rig_gateway_t* g);
bool rig_gateway_wait_ready(rig_gateway_t* g, int ms);
void rig_gateways_start(void); /* all, and waits until they are ready */
void rig_gateway_signal(rig_gateway_t* g, int number);
void rig_gateway_kill(rig_gateway_t* g);

/* Clients. */
void rig_call(rig_gateway_t* g, const rig_ask_t* ask, rig_call_t* call);
void rig_call_free(rig_call_t* call);

/* Runs of requests, noted by servers when a request begins to run. */
uint32_t rig_runs(const char* id);

#endif
