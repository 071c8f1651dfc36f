#ifndef CW_TEST_PUBLISHED_H
#define CW_TEST_PUBLISHED_H
/* Entries of a server as the platform's store gives them, in base64. */

/* {"service":"p","address":"127.0.0.1:9","zone":"a","slots":1,"state":"draining"} */
#define DRAINING                                                                                                       \
    "eyJzZXJ2aWNlIjoicCIsImFkZHJlc3MiOiIxMjcuMC4wLjE6OSIsInpvbmUiOiJhIiwic2xvdHMiOjEsInN0YXRlIjoiZHJhaW5pbmcifQ=="
/* The same, ready. */
#define READY "eyJzZXJ2aWNlIjoicCIsImFkZHJlc3MiOiIxMjcuMC4wLjE6OSIsInpvbmUiOiJhIiwic2xvdHMiOjEsInN0YXRlIjoicmVhZHkifQ=="

#endif
