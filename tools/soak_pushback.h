#ifndef CW_TOOLS_SOAK_PUSHBACK_H
#define CW_TOOLS_SOAK_PUSHBACK_H
/*
    What upstreams asked of hosts in a soak, in the heads of their answers, and whether the hosts kept to it: a rate for
    all hosts together, rest from one host, and to send nothing more to an upstream that leaves.
*/
#include <stdbool.h>
#include <stdint.h>

#define SOAK_PUSHBACK_CONTACT_MS 3000 /* from the naming of a rate until it must be kept */
#define SOAK_PUSHBACK_WINDOW_MS 4000  /* in which it is counted */
#define SOAK_PUSHBACK_TOLD_MS 500     /* after an answer, until its host must heed it */
#define SOAK_PUSHBACK_RESTING 2       /* requests that may come in a rest after that */

/* A request that came to an upstream, or an answer of it. server: hash of the name and of the life. */
typedef struct soak_arrival_t {
    int64_t at_ms, sent_ms; /* sent_ms: by the caller */
    uint64_t server, host;
    bool excused; /* the host, or the upstream, was disturbed shortly before */
} soak_arrival_t;

typedef enum soak_word_kind_t { SOAK_WORD_RATE = 0, SOAK_WORD_REST, SOAK_WORD_LEAVING } soak_word_kind_t;

/* What an answer told a host. */
typedef struct soak_word_t {
    soak_word_kind_t kind;
    int64_t at_ms;
    uint64_t server, host;
    uint32_t rest_ms;
} soak_word_t;

/* A rate that an upstream names, from_ms until until_ms (0: to the end). */
typedef struct soak_rate_t {
    uint64_t server;
    double per_s;
    int64_t from_ms, until_ms;
} soak_rate_t;

typedef struct soak_pushback_t soak_pushback_t;
typedef void (*soak_pushback_found_t)(void* user_data, soak_word_kind_t kind, const soak_arrival_t* arrival,
                                      const char* what);

soak_pushback_t* soak_pushback_setup(void);
void soak_pushback_shutdown(soak_pushback_t* p);
void soak_pushback_arrival(soak_pushback_t* p, const soak_arrival_t* arrival);
void soak_pushback_word(soak_pushback_t* p, const soak_word_t* word);
/* The upstream names the rate from now on; per_s < 0: none any more. */
void soak_pushback_rate(soak_pushback_t* p, int64_t at_ms, uint64_t server, double per_s);
/* Tells each arrival that came against an upstream's word; heed_ms: after the word of leaving. */
void soak_pushback_judge(const soak_pushback_t* p, int64_t heed_ms, soak_pushback_found_t found, void* user_data);

#endif
