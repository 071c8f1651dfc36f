#ifndef CW_TOOLS_SITE_H
#define CW_TOOLS_SITE_H
/*
    A small site on this machine, of real processes on ports the kernel
    picks: the platform stand-in, daemons, engines and services. Used by the
    demo, the process tests and the benches.
*/
#include <sys/types.h>

#include "../chalkway_core.h"

#define SITE_MAX_PROCS 96
#define SITE_ADDRESS_MAX 48
#define SITE_BODY_MAX 65536

typedef enum site_kind_t { SITE_PLATFORM, SITE_ENGINE, SITE_SERVICE, SITE_DAEMON } site_kind_t;

typedef struct site_proc_t {
    site_kind_t kind;
    pid_t pid; /* 0: ended */
    char name[32];
    char hall[32];
    char http[SITE_ADDRESS_MAX];
    char peer[SITE_ADDRESS_MAX];          /* daemons */
    char operator_http[SITE_ADDRESS_MAX]; /* daemons */
    char config[160];                     /* daemons: settings file */
} site_proc_t;

typedef struct site_t {
    char build[128];
    char dir[64]; /* of the settings and logs */
    site_proc_t procs[SITE_MAX_PROCS];
    int count;
    const char* daemon_extra; /* more lines for the daemons' settings, or NULL */
    const char* log_level;    /* of the daemons, default warn */
} site_t;

/* An answer to a blocking request. */
typedef struct site_answer_t {
    long status; /* 0: no answer */
    bool whole;
    char outcome[32];
    char retry_after[16];
    long bytes; /* of the request and its answer, with headers */
    char body[SITE_BODY_MAX];
} site_answer_t;

typedef struct site_request_t {
    const char* method;
    const char* address; /* IP:PORT */
    const char* path;
    const char* token; /* bearer token or NULL */
    const char* class_name;
    const char* key; /* Idempotency-Key or NULL */
    const char* body;
    long timeout_ms; /* default 20000 */
} site_request_t;

/* build: folder of the programs. */
void site_setup(site_t* s, const char* build);
/* Ends all processes that were started, by their ids; returns the number of daemons that did not end with 0. */
int site_shutdown(site_t* s);
/* Starts a program and waits for its ready line; NULL after a message on standard error. args ends with NULL. */
site_proc_t* site_start(site_t* s, site_kind_t kind, const char* name, const char* hall, const char* const* args);
/* Starts a daemon whose seeds are the daemons that run. */
site_proc_t* site_start_daemon(site_t* s, const char* name, const char* hall);
/* Starts a daemon again with the settings and addresses it had. */
bool site_restart_daemon(site_t* s, site_proc_t* p);
site_proc_t* site_find(site_t* s, const char* name);
/* SIGTERM, then waits; returns the exit code, or -1 when a signal ended it. */
int site_stop(site_proc_t* p);
/* SIGTERM without waiting, and the wait. */
void site_stop_begin(const site_proc_t* p);
int site_stop_wait(site_proc_t* p);
void site_kill(site_proc_t* p);
/* Publishes {"items": [...]} on the platform. */
bool site_publish(site_t* s, const char* items);
/* Publishes the list of hosts: all that run, and which of them (or NULL) leaves. */
bool site_publish_hosts(site_t* s, const char* leaving);
/* One blocking HTTP request. */
site_answer_t site_call(const site_request_t* request);
/* GET of a path; the body's JSON number at a key, -1 when there is none. */
double site_number(const char* address, const char* path, const char* key);
/* Waits until GET /readyz of every daemon says ready and each knows as many live members as there are daemons. */
bool site_wait_ready(site_t* s, int timeout_ms);
/* Waits until every daemon has at least this configuration revision in force. */
bool site_wait_revision(site_t* s, long long revision, int timeout_ms);
/* Hexadecimal digest of a bearer token, as published in a workspace. */
void site_digest(const char* token, char out[65]);
void site_sleep_ms(int ms);
int64_t site_now_ms(void);

#endif
